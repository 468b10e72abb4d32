#!/usr/bin/env bash
# Guards against clients that end the daemon by the memory of their bodies: many of legal size at
# once, most of which never end, and bodies far over the limit, announced or just sent.
set -u
build=${1:?usage: e2e_hostile_bodies.sh BUILD_FOLDER}
. "$(dirname "$0")/hostile/cell.bash"
cell_vms=1
run_case whole 400
run_case short 600
run_case pieces 600
run_case announced 100
run_case expected 100
run_case chunked 100
exit $((failures > 0))
