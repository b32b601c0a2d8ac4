#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review. The project's own program is
# built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I/usr/include/jsoncpp)
for name in standins spoiled_streams; do
  g++ "${flags[@]}" -c "review/$name.cpp" -o "$out/$name.o"
done
for source in review/[1-5]/*.cpp; do
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out/standins.o" "$out/spoiled_streams.o" -o "$out/$(basename "$source" .cpp)" -pthread -ljsoncpp &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
