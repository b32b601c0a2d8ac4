#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, with the libraries of the deploy
# file's build and the project's own stand-ins of the store and of servers.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
includes=(-Itrefoilrouter/src -Iplatform/soak/src)
for each in libs/*/include platform/include; do includes+=("-I$each"); done
sources=(review/rig.cpp review/stock.cpp platform/soak/src/threaded_server.cpp platform/soak/src/fake_store.cpp)
objects=()
for source in "${sources[@]}"; do
  object=$out/$(basename "$source" .cpp).o
  g++ -std=c++20 -O1 "${includes[@]}" -I/usr/include/jsoncpp -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for case in review/[678]/case.cpp; do
  name=case-$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 "${includes[@]}" -I/usr/include/jsoncpp "$case" "${objects[@]}" -o "$out/$name" \
    -Wl,--start-group target/trefoilrouter/libpoco_http.a target/libs/{http,configuration,core,platform}/lib*.a \
    -Wl,--end-group -lPocoNet -lPocoFoundation -ljsoncpp -lyaml-cpp -lpthread
done
ls "$out"
