#!/usr/bin/env bash
# Guards against answers of a service that end the daemon: hundreds of megabytes, or JSON of a few
# megabytes that takes a hundred times as much once it is parsed.
set -u
build=${1:?usage: e2e_hostile_answers.sh BUILD_FOLDER}
. "$(dirname "$0")/hostile/lib.bash"
# A daemon without bounds ends here before it takes the memory of the machine.
ulimit -v 1500000
run_service serve-large
run_service serve-wide
run_service serve-deep
exit $((failures > 0))
