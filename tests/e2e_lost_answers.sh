#!/usr/bin/env bash
# The store is slow and 30% of its answers are lost after the append took effect; one target loses
# 20% of its answers. Guards against records that take effect twice and against work that is started
# again because an answer was lost.
set -u
build=${1:?usage: e2e_lost_answers.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"

cell_open 3 --workers 16 --executors 8 --run-seconds 180
load_start l --urls "$(vm_urls e1 e2 e3)" --requests 2500 --jobs 20 --rate 100 --run-seconds 90
sleep 3
standin_control log '{"lost_permille":300,"slow_ms":60}'
standin_control target/x0001 '{"lost_permille":200}'
sleep 15
standin_control log '{"lost_permille":0,"slow_ms":0}'
standin_control target/x0001 '{"lost_permille":0}'
load_wait l
exit "$load_code"
