#!/usr/bin/env bash
# SIGSTOP of an owner past its lease, then SIGCONT. Guards against a paused owner that starts work
# which its successor has started as well.
set -u
build=${1:?usage: e2e_pause.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"

cell_open 3 --workers 16 --executors 8 --run-seconds 180
load_start p --urls "$(vm_urls e1 e2 e3)" --requests 2500 --jobs 20 --rate 100 --run-seconds 90
sleep 4
# Pauses on both sides of the 3 s of a lease and of the 10 s of a task's lease.
for case in "e1 2" "e2 6" "e3 8"; do
  read -r id seconds <<< "$case"
  kill -STOP "${cluster_pid[$id]}"
  sleep "$seconds"
  kill -CONT "${cluster_pid[$id]}"
  sleep 2
done
load_wait p
exit "$load_code"
