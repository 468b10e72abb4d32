#!/usr/bin/env bash
# Builds gr-world3, the stand-ins of the cases 11 to 15, into target/review3. Needs what the build of
# the deploy file needs, and nothing else.
set -eu
cd "$(dirname "$0")/.."
out=${OUT:-target/review3}
mkdir -p "$out"
deps="libuv msgpack jansson libxxhash libconfuse libcurl openssl libh2o argtable2"
flags="$(pkg-config --cflags $deps) -std=gnu11 -O1 -g -D_GNU_SOURCE -DGR_VERSION=\"0.1.0\""
flags="$flags -Wall -Wextra -Wno-missing-field-initializers -Isrc -Iinclude -Isoak -Ireview/world3"
objects=""
compile () {
  local object
  object="$out/$(echo "${1%.c}" | tr / _).o"
  # shellcheck disable=SC2086
  cc $flags -c "$1" -o "$object"
  objects="$objects $object"
}
for source in src/base/*.c src/net/*.c; do
  compile "$source"
done
for source in store paths procs clients check; do
  compile "soak/soak_$source.c"
done
for source in review/world3/*.c; do
  compile "$source"
done
# shellcheck disable=SC2086
cc -Wl,--wrap=soak_check_event $objects -o "$out/gr-world3" $(pkg-config --libs $deps) -lm -lpthread
echo "built $out/gr-world3"
