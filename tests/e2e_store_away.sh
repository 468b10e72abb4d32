#!/usr/bin/env bash
# The store is unavailable for 60 s. Guards against idempotent requests that are refused only
# because of the outage, and against non-idempotent ones that run without a durable record.
set -u
build=${1:?usage: e2e_store_away.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"

cell_open 3 --workers 16 --executors 8 --run-seconds 240
urls=$(vm_urls e1 e2 e3)
sleep 5
standin_control log '{"outage":true}'
# No requests are sent in the first 5 s of the outage, in which the daemons change to promise mode.
sleep 5
# All deadlines have to lie within the outage, because a refused caller retries until its deadline.
load_start i --urls "$urls" --mix idempotent --requests 1500 --jobs 0 --rate 30 --run-seconds 90 \
  --deadline-ms 5000
load_start n --urls "$urls" --mix non-idempotent --requests 500 --jobs 0 --rate 10 \
  --run-seconds 90 --deadline-ms 5000
sleep 58
standin_control log '{"outage":false}'
load_wait i
load_wait n
sleep 5
load_start a --urls "$urls" --requests 500 --jobs 8 --rate 100 --run-seconds 60
load_wait a
check() {
  [ "$2" = "$3" ] && return
  echo "FAILED: $1: got $2, expected $3"
  load_code=1
}
check "idempotent requests completed during the outage" "$(load_count i completed)" 1500
check "idempotent requests refused during the outage" "$(load_count i refused)" 0
check "non-idempotent requests refused during the outage" "$(load_count n refused)" 500
exit "$load_code"
