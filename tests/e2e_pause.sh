#!/usr/bin/env bash
# SIGSTOP of entry VMs, also past their lease, then SIGCONT. Guards against a resumed owner that
# starts work which its successor has already started.
set -u
build=${1:?usage: e2e_pause.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"

cell_open 3 --workers 16 --executors 8 --run-seconds 180
load_start p --urls "$(vm_urls e1 e2 e3)" --requests 2500 --jobs 20 --rate 100 --run-seconds 90
sleep 4
# Pauses shorter and longer than the 3 s lease of an owner; all are shorter than the 10 s lease of a
# task.
for case in "e1 2" "e2 6" "e3 8"; do
  read -r id seconds <<< "$case"
  kill -STOP "${cluster_pid[$id]}"
  sleep "$seconds"
  kill -CONT "${cluster_pid[$id]}"
  sleep 2
done
load_wait p
exit "$load_code"
