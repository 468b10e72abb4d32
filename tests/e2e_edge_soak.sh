#!/usr/bin/env bash
# Guards against tasks that start again while a run of theirs is at work: a leader that is cut off with its
# zone renews the leases of the targets there, and its successor takes them as lapsed. Nine daemons and their
# targets run as processes; the seeds are those of soak/regression-seeds.txt that failed. The run with accounts
# guards against callers with another key that see or change a job, also across changes of leader. The last one
# guards against answers that a process takes after it has started again, jobs that are given up for targets that
# crashed idle, and configurations that only a process that was running can use.
set -u
build=${1:?usage: e2e_edge_soak.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
FAULTS=leader-zone SECONDS_EACH=40 "$root/scripts/run-edge-soak" "$build" 1 4 || exit 1
ACCOUNTS=4 FAULTS=all SECONDS_EACH=40 "$root/scripts/run-edge-soak" "$build" 2 || exit 1
FAULTS=quick-return,idle-crash,kill-all SECONDS_EACH=40 "$root/scripts/run-edge-soak" "$build" 1
