#!/usr/bin/env bash
# Peer links are cut and restored. As in a network partition, the connections stay open and their
# data is dropped. Guards against two owners of one key and against calls that are lost between VMs.
set -u
build=${1:?usage: e2e_cut_links.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"

cell_open 3 --relay-peers --workers 16 --executors 8 --run-seconds 180
load_start c --urls "$(vm_urls e1 e2 e3)" --requests 2500 --jobs 20 --rate 100 --run-seconds 90
sleep 4
# Cuts one pair, then one VM from both others, each for longer than the 3 s lease.
for case in '"a":"e1","b":"e2"' '"a":"e3"'; do
  standin_control link "{$case,\"cut\":true}"
  sleep 7
  standin_control link "{$case,\"cut\":false}"
  sleep 3
done
load_wait c
exit "$load_code"
