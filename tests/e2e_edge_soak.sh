#!/usr/bin/env bash
# Guards against tasks that start again while a run of theirs is at work: a leader that is cut off with its
# zone renews the leases of the targets there, and its successor takes them as lapsed. Nine daemons and their
# targets run as processes; the seeds are those of soak/regression-seeds.txt that failed. The run with accounts
# guards against callers with another key that see or change a job, also across changes of leader.
set -u
build=${1:?usage: e2e_edge_soak.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
FAULTS=leader-zone SECONDS_EACH=40 "$root/scripts/run-edge-soak" "$build" 1 4 || exit 1
ACCOUNTS=4 FAULTS=all SECONDS_EACH=40 "$root/scripts/run-edge-soak" "$build" 2
