#!/bin/bash
# Builds the stand-ins of the second review's cases into target/review-2/, after
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I.
  -DBOOST_LOG_DYN_LINK)
libraries=(target/libradishmoor_net.a target/libradishmoor_ops.a
  target/libradishmoor_base.a)
packages=(-lboost_json -lboost_log -lboost_thread -lboost_system -lpthread)
g++ "${flags[@]}" -c review/stand-in-2/review_site.cc -o "$out/review_site.o"
for case in review/{6,7,8,9,10}/case.cc; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" "$out/review_site.o" "${libraries[@]}" \
    "${packages[@]}" -o "$out/case-$number"
done
