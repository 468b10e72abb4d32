#!/usr/bin/env bash
# Guards against clients that use up memory or descriptors without a large body: chunks of one byte,
# headers without end, pipelined requests, answers that nobody reads, connections without a request.
set -u
build=${1:?usage: e2e_hostile_streams.sh BUILD_FOLDER}
. "$(dirname "$0")/hostile/cell.bash"
cell_vms=1
run_case bytes 100
run_case header 400
run_case headers 400
run_case pipelined 200
run_case unread 400
run_case idle 3200
exit $((failures > 0))
