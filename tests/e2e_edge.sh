#!/usr/bin/env bash
# The daemon of a single entry VM without a store: it reports that it is not ready, refuses calls
# immediately, serves metrics and exits on SIGTERM.
set -u
build=${1:?usage: e2e_edge.sh BUILD_FOLDER}
work=$(mktemp -d)
pid=
trap '[ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null; rm -rf "$work"' EXIT
failures=0

# fail TEXT
fail () {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

# start BASE_PORT: starts the daemon on this port and the next three; fails if one of them is in use
start () {
  "$build/gentianrelay-edge" --vm-id=e1 --zone=z --region=r --listen="127.0.0.1:$1" \
    --ready-listen="127.0.0.1:$(($1 + 1))" --metrics-listen="127.0.0.1:$(($1 + 2))" \
    --peer-host=127.0.0.1 --peer-port="$(($1 + 3))" --store=127.0.0.1:9 --grace-s=4 \
    >"$work/log" 2>"$work/err" &
  pid=$!
  for _ in $(seq 100); do
    kill -0 "$pid" 2>/dev/null || { wait "$pid"; pid=; return 1; }
    curl -s -o "$work/none" "http://127.0.0.1:$(($1 + 2))/none" && return 0
    sleep 0.1
  done
  return 1
}

# status URL [CURL_OPTION...]: prints the HTTP status; the timeout is two seconds
status () {
  curl -s -m 2 -o "$work/body" -w '%{http_code}' "$@"
}

base=
for attempt in $(seq 20); do
  candidate=$((20000 + (BASHPID + attempt * 977) % 10000))
  if start "$candidate"; then
    base=$candidate
    break
  fi
done
[ -n "$base" ] || { fail "the daemon did not start: $(cat "$work/log" "$work/err")"; exit 1; }

[ "$(status "http://127.0.0.1:$((base + 1))/gentianrelay/readyz")" = 503 ] \
  || fail "the daemon should not be ready without a configuration"
for _ in $(seq 50); do
  status "http://127.0.0.1:$base/q/0123456789abcdef" -d '{"spec":"x","steps":[{"count":1}]}'
  echo
done >"$work/statuses"
[ "$(sort -u "$work/statuses")" = 503 ] \
  || fail "calls should be refused with 503: $(sort "$work/statuses" | uniq -c | tr '\n' ' ')"
[ "$(status "http://127.0.0.1:$((base + 2))/metrics")" = 200 ] || fail "metrics should be served"
for name in calls_total call_ms_bucket append_ms_count advice_ms_count leads log_lines_dropped_total; do
  grep -q "^gentianrelay_$name" "$work/body" || fail "no metric gentianrelay_$name"
done

began=$(date +%s)
kill -TERM "$pid"
wait "$pid"
code=$?
pid=
[ "$code" = 0 ] || fail "exit code $code after SIGTERM"
[ $(($(date +%s) - began)) -le 4 ] || fail "the daemon did not exit within its grace period"
exit $((failures > 0))
