#!/usr/bin/env bash
# Builds the stand-in that the scripts start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=gnu11 -O2 -Wall -Wextra -o target/review/world review/world.c -ljansson
