#!/usr/bin/env bash
# Rolling replacement of all nine entry VMs under load: each is stopped gracefully after its
# replacement is ready. Guards against planned stops that interrupt or lose requests.
set -u
build=${1:?usage: e2e_rolling.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"

cell_open 9 --workers 32 --executors 16 --run-seconds 280
load_start g --follow-list --graceful all --requests 6000 --jobs 30 --rate 60 --run-seconds 200
sleep 3
for old in $(seq 9); do
  new=e$((old + 9))
  vm_start "$new" attica "attica-z$((old % 3))"
  vm_wait_ready "$new"
  vm_stop "e$old"
done
load_wait g
exit "$load_code"
