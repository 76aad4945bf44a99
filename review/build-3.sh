#!/bin/bash
# Builds the stand-ins of the third review into target/, after the build of the
# deploy file. Needs nothing beyond the packages that the deploy file lists.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for name in wave_case restart_case rack_case late_case; do
  g++ -std=c++20 -O1 -Wall -I. -o "$out/$name" \
    "review/stand-in-3/$name.cc" review/stand-in-3/platform.cc \
    target/libradishmoor_net.a target/libradishmoor_ops.a \
    target/libradishmoor_base.a \
    -lboost_json -lboost_system -lboost_thread -lpthread
done
