# Sourced by tests/e2e_hostile_*.sh: a working cell of the soak, clients of gr-hostile and the checks.
# The store and the targets are those of gr-edge-soak; tasks work for the time that their spec says.
work=$(mktemp -d)
soak=
crowd=
# The smallest VM of docs/accounts-and-load.md.
memory_mb=120
descriptors_max=3075
cell_vms=3
failures=0
# A cell ends by itself after this, should the script be killed.
CELL_SECONDS=280
# An ordinary caller repeats a call this many times, with a pause of a second.
ATTEMPTS_MAX=60
declare -A edge_pid edge_port edge_memory_mb

stop_all () {
  stop_crowd
  stop_cell
  rm -rf "$work"
}
trap stop_all EXIT

stop_crowd () {
  exec 9>&-
  [ -n "$crowd" ] && kill -KILL "$crowd" 2>/dev/null && wait "$crowd" 2>/dev/null
  crowd=
  rm -f "$work/hold"
}

# The edges and targets end with the soak.
stop_cell () {
  [ -n "$soak" ] && kill -KILL "$soak" 2>/dev/null && wait "$soak" 2>/dev/null
  soak=
}

# fail TEXT
fail () {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

# start_cell VMS TARGETS [FIRST_MB]: starts a cell whose VMs have memory_mb each, the first one FIRST_MB, and
# waits until all are ready. A first VM with a size of its own is preferred as leader.
start_cell () {
  local i options="--cpu-share=0.25 --max-fds=$descriptors_max --memory-mb"
  local first="${options/0.25/1}=${3:-$memory_mb}"
  mkdir -p "$work/logs"
  (ulimit -n "$((descriptors_max * ($1 + 2)))" 2>/dev/null
    exec "$build/gr-edge-soak" --edge="$build/gentianrelay-edge" --faults=none --interval-ms=0 \
      --vms="$1" --targets="$2" --seconds="$CELL_SECONDS" --logs="$work/logs" \
      --edge-options="$options=$memory_mb" ${3:+--first-options="$first"}) \
    >"$work/soak" 2>&1 9>&- &
  soak=$!
  edge_pid=() edge_port=() edge_memory_mb=()
  for i in $(seq "$1"); do
    wait_for_edge "e$i" || return 1
    edge_memory_mb[e$i]=$memory_mb
  done
  [ -n "${3:-}" ] && edge_memory_mb[e1]=$3
  return 0
}

# wait_for_edge ID: until the VM has started and answers for a route
wait_for_edge () {
  local line
  for _ in $(seq 600); do
    line=$(grep -s " $1 starts pid" "$work/logs/events.txt" | tail -n 1)
    edge_pid[$1]=$(echo "$line" | sed 's/.* pid \([0-9]*\).*/\1/')
    edge_port[$1]=$(echo "$line" | sed 's/.* port \([0-9]*\).*/\1/')
    if [ -n "$line" ]; then
      [ "$(call "$1" GET)" = 200 ] && return 0
    fi
    sleep 0.1
  done
  fail "$1 did not start: $(tail -n 3 "$work/soak" "$work/logs/$1.log")"
  return 1
}

# ports [VM]: the ports of all VMs but this one, separated by commas
ports () {
  local id list=
  for id in "${!edge_port[@]}"; do
    [ "$id" = "${1:-}" ] && continue
    list=$list${list:+,}${edge_port[$id]}
  done
  echo "$list"
}

# leader: the VM that won the newest term
leader () {
  sed -n 's/.* term [0-9]*: \(e[0-9]*\).*/\1/p' "$work/logs/events.txt" | tail -n 1
}

# call VM METHOD [ID [BODY]]: prints the status; the body of the answer is in $work/answer
call () {
  curl -s -m 30 -o "$work/answer" -w '%{http_code}' -X "$2" -H 'Host: q.example' \
    -H 'X-Gentianrelay-Deadline-Ms: 20000' ${caller_address:+--interface "$caller_address"} \
    ${4:+-d "$4"} "http://127.0.0.1:${edge_port[$1]}/jobs/${3:-}" 2>/dev/null
}

# submit_ordinary VM ID: hands in a job of one task; a call that is refused or not answered is repeated
submit_ordinary () {
  local status
  for _ in $(seq "$ATTEMPTS_MAX"); do
    status=$(call "$1" POST "$2" '{"spec":"ms=1","steps":[{"count":1,"cpu":1000,"estimateMs":1}]}')
    [ "$status" = 200 ] && return 0
    sleep 1
  done
  fail "$3: an ordinary job was not accepted by $1: status $status, $(cat "$work/answer" 2>/dev/null)"
  return 1
}

# wait_completed VM ID CASE
wait_completed () {
  for _ in $(seq "$ATTEMPTS_MAX"); do
    [ "$(call "$1" GET "$2")" = 200 ] && grep -q '"completed"' "$work/answer" && return 0
    sleep 1
  done
  fail "$3: an ordinary job is not shown as completed by $1: $(cat "$work/answer" 2>/dev/null)"
}

# check_edge VM CASE: the process lives and is within its bounds
check_edge () {
  local pid=${edge_pid[$1]} bound=$((edge_memory_mb[$1] * 1024)) peak descriptors
  if ! kill -0 "$pid" 2>/dev/null; then
    fail "$2: $1 has ended: $(tail -n 1 "$work/logs/$1.log")"
    return
  fi
  peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")
  descriptors=$(ls "/proc/$pid/fd" | wc -l)
  echo "$2: $1 peak_kb=$peak descriptors=$descriptors"
  [ "$peak" -le "$bound" ] || fail "$2: $1 took $peak KB of memory; allowed are $bound"
  [ "$descriptors" -lt "$descriptors_max" ] || fail "$2: $1 has $descriptors descriptors"
}

# check_cell CASE: each VM that runs serves an ordinary job, and all are within their bounds
check_cell () {
  local vm id
  for vm in "${!edge_pid[@]}"; do
    id=$(printf '%08x%04x%04x' $$ "$SECONDS" "$RANDOM")
    submit_ordinary "$vm" "$id" "$1" && wait_completed "$vm" "$id" "$1"
  done
  for vm in "${!edge_pid[@]}"; do
    check_edge "$vm" "$1"
  done
}

# kill_edge VM: ends the process; it is not started again
kill_edge () {
  kill -KILL "${edge_pid[$1]}"
  unset "edge_pid[$1]" "edge_port[$1]"
}

# start_crowd ARGUMENT...: starts gr-hostile and waits for its report; it stays connected
start_crowd () {
  mkfifo "$work/hold"
  "$build/gr-hostile" "$@" <"$work/hold" >"$work/report" 2>&1 &
  crowd=$!
  exec 9>"$work/hold"
  while kill -0 "$crowd" 2>/dev/null && ! grep -q settled "$work/report"; do
    sleep 0.1
  done
  cat "$work/report"
  grep -q settled "$work/report" || fail "the clients ended early"
}

# end_crowd: the clients close their connections
end_crowd () {
  exec 9>&-
  wait "$crowd"
  crowd=
  rm -f "$work/hold"
}

# run_case CASE ARGUMENT...: runs the clients against a cell of its own, of cell_vms VMs, and checks it while
# they are connected and after they have gone. Arguments are those of gr-hostile after the ports.
run_case () {
  echo "== $1"
  start_cell "$cell_vms" 24 || return
  start_crowd "$(ports)" "$@"
  check_cell "$1, connected"
  end_crowd
  check_cell "$1, gone"
  end_cell
}

# run_takeover CASE ARGUMENT...: like run_case; the leader is killed while the clients are connected
run_takeover () {
  echo "== $1, takeover"
  start_cell "$cell_vms" 24 || return
  start_crowd "$(ports)" "$@"
  kill_edge "$(leader)"
  check_cell "$1, after a takeover"
  end_crowd
  end_cell
}

# run_smaller CASE ARGUMENT...: the first VM has large_mb of memory and leads. It is killed, and all that it has
# accepted ends under the others.
run_smaller () {
  echo "== $1, takeover by a smaller VM"
  start_cell "$cell_vms" 24 "$large_mb" || return
  [ "$(leader)" = e1 ] || fail "e1 does not lead"
  start_crowd "$(ports)" "$@" "$work/accepted"
  kill_edge e1
  check_cell "$1, after a takeover"
  "$build/gr-hostile" "$(ports)" over "$work/accepted" || fail "an accepted job was denied"
  check_cell "$1, all over"
  end_crowd
  end_cell
}

# run_stalled leader|store CASE ARGUMENT...: the leader, or the store with all links to it, stands still while the
# clients send their requests to the other VMs
run_stalled () {
  local stalled vm front
  echo "== $2, the $1 stands still"
  start_cell "$cell_vms" 24 || return
  stalled=$soak
  front=$(ports)
  if [ "$1" = leader ]; then
    vm=$(leader)
    stalled=${edge_pid[$vm]}
    front=$(ports "$vm")
  fi
  kill -STOP "$stalled"
  start_crowd "$front" "${@:2}"
  for vm in "${!edge_pid[@]}"; do
    check_edge "$vm" "$2, the $1 stands still"
  done
  kill -CONT "$stalled"
  end_crowd
  check_cell "$2, after the $1 stood still"
  end_cell
}

end_cell () {
  stop_cell
  rm -rf "$work/logs"
}
