#!/usr/bin/env bash
# SIGKILL of entry VMs under load. Guards against work that is lost, started twice or answered with
# a wrong result after an owner fails without releasing its keys.
set -u
build=${1:?usage: e2e_kill.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"

cell_open 4 --workers 16 --executors 8 --run-seconds 180
load_start k --urls "$(vm_urls e1 e2 e3 e4)" --requests 2500 --jobs 20 --rate 100 --run-seconds 90
sleep 5
vm_kill e1
sleep 12
vm_kill e3
load_wait k
exit "$load_code"
