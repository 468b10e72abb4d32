# Sourced by tests/e2e_hostile_answers.sh: a daemon whose store is gr-hostile, and the checks.
# The bounds are those of the smallest VM of docs/accounts-and-load.md: 120 MB and 3,075 descriptors.
MEMORY_MAX_KB=122880
DESCRIPTORS_MAX=3075
work=$(mktemp -d)
edge=
clients=
failures=0

# stop_all: ends what this script has started
stop_all () {
  exec 9>&-
  [ -n "$clients" ] && kill -KILL "$clients" 2>/dev/null
  [ -n "$edge" ] && kill -KILL "$edge" 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

# fail TEXT
fail () {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

# start_edge [OPTION...]: starts the daemon on free ports and sets base to the first of four
start_edge () {
  for attempt in $(seq 20); do
    base=$((20000 + (BASHPID + attempt * 977 + RANDOM) % 10000))
    (ulimit -n "$DESCRIPTORS_MAX"; exec "$build/gentianrelay-edge" --vm-id=e1 --zone=z --region=r \
      --listen="127.0.0.1:$base" --ready-listen="127.0.0.1:$((base + 1))" \
      --metrics-listen="127.0.0.1:$((base + 2))" --peer-host=127.0.0.1 --peer-port="$((base + 3))" \
      --store="127.0.0.1:${store_port:-9}" "$@") >"$work/log" 2>"$work/err" 9>&- &
    edge=$!
    for _ in $(seq 100); do
      kill -0 "$edge" 2>/dev/null || break
      curl -s -o "$work/none" "http://127.0.0.1:$((base + 2))/none" && return 0
      sleep 0.1
    done
    kill -KILL "$edge" 2>/dev/null
    wait "$edge" 2>/dev/null
  done
  fail "the daemon did not start: $(cat "$work/log" "$work/err")"
  exit 1
}

stop_edge () {
  kill -KILL "$edge" 2>/dev/null
  wait "$edge" 2>/dev/null
  edge=
}

# check_edge CASE: the daemon lives, is within its bounds and answers one ordinary request, which is
# refused with 503 because there is no configuration
check_edge () {
  if ! kill -0 "$edge" 2>/dev/null; then
    fail "$1: the daemon has ended: $(tail -n 3 "$work/log" "$work/err")"
    return
  fi
  local peak descriptors status
  peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$edge/status")
  descriptors=$(ls "/proc/$edge/fd" | wc -l)
  status=$(curl -s -m 20 -o "$work/body" -w '%{http_code}' \
    "http://127.0.0.1:$base/q/0123456789abcdef" -d '{"spec":"x","steps":[{"count":1}]}')
  echo "$1: peak_kb=$peak descriptors=$descriptors status=$status"
  [ "$peak" -le "$MEMORY_MAX_KB" ] || fail "$1: $peak KB of memory; allowed are $MEMORY_MAX_KB"
  [ "$descriptors" -lt "$DESCRIPTORS_MAX" ] || fail "$1: $descriptors descriptors"
  [ "$status" = 503 ] || fail "$1: an ordinary request got status $status"
}

# finish_case CASE WHO: waits until gr-hostile has reported, checks the daemon while the connections are
# open and after they have been closed, and stops both
finish_case () {
  while kill -0 "$clients" 2>/dev/null && ! grep -q settled "$work/report"; do
    sleep 0.1
  done
  cat "$work/report"
  grep -q settled "$work/report" || fail "$1: the $2 ended early"
  check_edge "$1, connected"
  exec 9>&-
  wait "$clients"
  clients=
  rm "$work/hold"
  check_edge "$1, gone"
  stop_edge
}

# run_service CASE: checks a daemon whose store is gr-hostile while the service answers and after it has gone
run_service () {
  mkfifo "$work/hold"
  for attempt in $(seq 20); do
    store_port=$((30000 + (BASHPID + attempt * 977 + RANDOM) % 2000))
    "$build/gr-hostile" "$store_port" "$1" 0 <"$work/hold" >"$work/report" 2>&1 &
    clients=$!
    exec 9>"$work/hold"
    while kill -0 "$clients" 2>/dev/null && ! grep -q serving "$work/report"; do
      sleep 0.1
    done
    grep -q serving "$work/report" && break
    exec 9>&-
  done
  start_edge
  finish_case "$1" service
}
