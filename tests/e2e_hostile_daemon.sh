#!/usr/bin/env bash
# Guards against accepted jobs of many tasks that end gentianrelayd, and each VM that takes over, by their
# memory.
set -u
build=${1:?usage: e2e_hostile_daemon.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/cluster.bash
. "$root/scripts/cluster.bash"
# Memory that control may take on a node, see docs/design.md.
MEMORY_MAX_KB=262144
DESCRIPTORS_MAX=1024
ATTEMPTS_MAX=5
failures=0

# fail TEXT
fail () {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

# check_vm VM CASE: the process lives and is within its bounds
check_vm () {
  local pid=${cluster_pid[$1]} peak descriptors
  if ! kill -0 "$pid" 2>/dev/null; then
    fail "$2: $1 has ended: $(tail -n 1 "$cluster_work/$1.log")"
    return
  fi
  peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")
  descriptors=$(ls "/proc/$pid/fd" | wc -l)
  echo "$2: $1 peak_kb=$peak descriptors=$descriptors"
  [ "$peak" -le "$MEMORY_MAX_KB" ] || fail "$2: $1 took $peak KB of memory; allowed are $MEMORY_MAX_KB"
  [ "$descriptors" -lt "$DESCRIPTORS_MAX" ] || fail "$2: $1 has $descriptors descriptors"
}

# request_ordinary VM CASE: an ordinary request of another team is served; it is repeated under its id
request_ordinary () {
  local status id="ordinary-$2-$1" deadline_ms
  for _ in $(seq "$ATTEMPTS_MAX"); do
    deadline_ms=$(($(date +%s%3N) + 30000))
    status=$(curl -s -m 40 -o "$cluster_work/answer" -w '%{http_code}' "${cluster_url[$1]}/v1/requests" \
      -d "{\"id\":\"$id\",\"team\":\"politics\",\"kind\":\"lookup\",\"idempotent\":true,\
\"deadline_ms\":$deadline_ms,\"run_ms\":10,\"payload\":\"x\"}")
    [ "$status" = 200 ] && return 0
    sleep 1
  done
  fail "$2: an ordinary request at $1 got status $status: $(cat "$cluster_work/answer")"
}

# check_cell CASE VM...
check_cell () {
  local case=$1 vm
  shift
  for vm in "$@"; do
    check_vm "$vm" "$case"
  done
  for vm in "$@"; do
    request_ordinary "$vm" "$case"
  done
}

cell_open 3 --workers 16 --executors 8 --run-seconds 250
urls=$(vm_urls e1 e2 e3)
"$build/gr-hostile" "${urls//http:\/\/127.0.0.1:/}" daemon 10 4 < /dev/null
check_cell flood e1 e2 e3
vm_kill e1
check_cell takeover e2 e3
exit $((failures > 0))
