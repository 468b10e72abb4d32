#!/usr/bin/env bash
# build-2.sh: builds the stand-ins of the cases 6 to 10 into target/review-2/. It needs the library
# that the build of the deploy file leaves in target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
packages="libuv jansson libh2o libcurl openssl msgpack libxxhash libconfuse argtable2"
# shellcheck disable=SC2046,SC2086
"${CC:-cc}" -std=gnu11 -O2 -g -Wall -Wextra -Wshadow -D_GNU_SOURCE -Isrc review/world2/*.c \
  target/libgentianrelay.a $(pkg-config --cflags --libs $packages) -lm -lpthread \
  -o target/review-2/world2
