#!/bin/bash
# Builds the stand-ins of the cases into review/build. Needs the build of the
# deploy file, whose libraries it uses.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers
  -DBOOST_LOG_DYN_LINK -I .)
libraries=(target/libradishmoor_net.a target/libradishmoor_ops.a
  target/libradishmoor_config.a target/libradishmoor_base.a
  $(pkg-config --libs thrift libxxhash) -lboost_log -lboost_json
  -lboost_thread -lboost_system -pthread)
g++ "${flags[@]}" -c review/standin/site.cc -o review/build/site.o
for source in review/[1-5]/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" review/build/site.o -o "review/build/case$name" \
    "${libraries[@]}"
done
