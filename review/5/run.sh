#!/bin/bash
# Plays the case against target/bin/radishmoor-jobs; see claim.txt. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/case5 ] && [ -x target/bin/radishmoor-jobs ] || exit 2
exec timeout 115 review/build/case5 review/5/record.txt
