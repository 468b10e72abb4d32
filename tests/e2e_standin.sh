#!/usr/bin/env bash
# Rules of the stand-in platform, over HTTP. The other end-to-end tests judge the daemons by the
# stand-in's records, so a stand-in that starts twice or forgets a fence would hide their faults.
set -u
build=${1:?usage: e2e_standin.sh BUILD_FOLDER}
work=$(mktemp -d)
failures=0
"$build/gr-standin" --port-file "$work/port" --workers 2 --executors 1 --regions attica \
  --list-lag-ms 200 --retention-records 3 --executor-connections 4 --run-seconds 60 \
  2> "$work/log" &
standin=$!
trap 'kill "$standin" 2> /dev/null; wait "$standin" 2> /dev/null; rm -rf "$work"' EXIT
for _ in $(seq 100); do
  [ -s "$work/port" ] && break
  sleep 0.1
done
url="http://127.0.0.1:$(cat "$work/port")"

now() { date +%s%3N; }

# check NAME STATUS PATTERN METHOD PATH [BODY]; status 000 is a connection without an answer.
check() {
  local name=$1 status=$2 pattern=$3 method=$4 path=$5 body=${6-}
  local got
  got=$(curl -s -m 20 -o "$work/body" -w '%{http_code}' -X "$method" "$url$path" \
    ${body:+--data-binary "$body"})
  if [ "$got" != "$status" ] || ! LC_ALL=C grep -qazE -- "$pattern" "$work/body" 2> /dev/null; then
    if [ "$status" = 000 ] && [ "$got" = 000 ]; then
      return
    fi
    echo "FAILED $name: status $got, wanted $status; body $(head -c 300 "$work/body" | tr -d "\0") wanted /$pattern/"
    failures=$((failures + 1))
  fi
  rm -f "$work/body"
}

# start TASK ATTEMPT EPOCH START_BY_IN_MS LEASE_IN_MS CPU RUN_MS PAYLOAD
start() {
  local t
  t=$(now)
  echo "{\"task\":\"$1\",\"attempt\":$2,\"epoch\":$3,\"start_by_ms\":$((t + $4)),\
\"lease_until_ms\":$((t + $5)),\"demand\":{\"cpu_milli\":$6,\"memory_mb\":64},\
\"run_ms\":$7,\"payload\":\"$8\"}"
}

# total NAME VALUE
total() {
  check "total $1" 200 "\"$1\":$2[,}]" GET /control/totals
}

w=/worker/w0000
v=/worker/w0001
x=/executor/x0000

# Log: offsets, retention, outage, lost answers.
check "first offset" 200 '"offset":0' POST /log/s one
check "second offset" 200 '"offset":1' POST /log/s two
check "streams are separate" 200 '"offset":0' POST /log/other one
check "read" 200 'one.*two' GET '/log/s?from=0'
check "read from an offset" 200 '^[^o]*two' GET '/log/s?from=1'
check "no stream name" 400 invalid POST /log/ x
check "third" 200 '"offset":2' POST /log/s three
check "fourth" 200 '"offset":3' POST /log/s four
check "retention drops the oldest" 200 '^[^o]*two.*four' GET '/log/s?from=0'
check "outage on" 200 '"outage":true' POST /control/log '{"outage":true}'
check "append in an outage" 503 unavailable POST /log/s lost
check "read in an outage" 503 unavailable GET '/log/s?from=0'
check "outage off" 200 '"outage":false' POST /control/log '{"outage":false}'
check "the refused append left no record" 200 '"offset":4' POST /log/s five
check "lose every answer" 200 1000 POST /control/log '{"lost_permille":1000}'
check "a lost answer" 000 '' POST /log/s six
check "keep answers" 200 '"lost_permille":0' POST /control/log '{"lost_permille":0}'
check "the append with the lost answer took effect" 200 'six' GET '/log/s?from=5'
check "the store does not deduplicate" 200 '"offset":6' POST /log/s six

# Starts: idempotent by task and attempt; fence; late; capacity; stop before start.
body=$(start a/0 1 5 5000 9000 1000 100 hello)
check "start" 200 '{}' POST $w/start "$body"
check "the same start again" 200 '{}' POST $w/start "$body"
total started 1
check "stale epoch" 409 '"stale_epoch".*"epoch":5' POST $w/start "$(start b/0 1 4 5000 9000 1000 100 x)"
check "inventory raises the fence" 200 '"tasks"' GET "$w/tasks?epoch=7"
check "epoch below the raised fence" 409 '"epoch":7' POST $w/start "$(start b/0 1 6 5000 9000 1000 100 x)"
check "inventory below the fence" 409 stale_epoch GET "$w/tasks?epoch=6"
check "late start" 410 late POST $w/start "$(start b/0 1 7 -1 9000 1000 100 x)"
check "start with a lapsed lease" 410 late POST $w/start "$(start b/0 1 7 5000 -1 1000 100 x)"
check "more than the target holds" 507 full POST $w/start "$(start b/0 1 7 5000 9000 32001 100 x)"
check "slots on a worker" 507 full POST $w/start \
  "$(start b/0 1 7 5000 9000 1 100 x | sed 's/"memory_mb":64/"slots":1/')"
check "malformed start" 400 invalid POST $w/start '{"task":"b/0"}'
check "stop before start" 200 '{}' POST $w/stop '{"task":"c/0","attempt":1}'
check "start after its stop" 410 stopped POST $w/start "$(start c/0 1 7 5000 9000 1000 100 x)"
check "another attempt of it starts" 200 '{}' POST $w/start "$(start c/0 2 7 5000 9000 1000 100 x)"
total overcommit_refused 2
total overloaded 0

# Ends: answers depend on task and payload; failure on request; large answers; leases; stops.
check "long poll sees the end" 200 '"a/0".*"succeeded".*"answer":"a/0:[0-9a-f]{16}"' GET "$w/tasks?epoch=7&after=0"
check "fail" 200 '{}' POST $v/start "$(start f/0 1 1 5000 9000 1000 50 fail)"
check "large" 200 '{}' POST $v/start "$(start l/0 1 1 5000 9000 1000 50 answer=262144)"
check "short lease" 200 '{}' POST $v/start "$(start g/0 1 1 5000 300 1000 5000 x)"
check "renewed lease" 200 '{}' POST $v/start "$(start h/0 1 1 5000 300 1000 600 x)"
check "renewal" 200 '{}' POST $v/lease "{\"lease_until_ms\":$(($(now) + 9000)),\"tasks\":[[\"h/0\",1]]}"
check "long run" 200 '{}' POST $v/start "$(start i/0 1 1 5000 9000 1000 60000 x)"
check "stop" 200 '{}' POST $v/stop '{"task":"i/0","attempt":1}'
sleep 1
check "ends" 200 '"f/0".*"failed"' GET "$v/tasks?epoch=1"
length=$(curl -s "$url$v/tasks?epoch=1" | grep -o '"l/0:[^"]*"' | wc -c)
if [ "$length" != $((262144 + 3)) ]; then
  echo "FAILED whole large answer: $length bytes"
  failures=$((failures + 1))
fi
check "lapsed" 200 '"g/0","attempt":1,"state":"lapsed"' GET "$v/tasks?epoch=1"
check "a renewed lease does not lapse" 200 '"h/0","attempt":1,"state":"succeeded"' GET "$v/tasks?epoch=1"
check "stopped" 200 '"i/0","attempt":1,"state":"stopped"' GET "$v/tasks?epoch=1"
seq=$(curl -s "$url$v/tasks?epoch=1" | sed 's/{"seq":\([0-9]*\).*/\1/')
check "a long poll without a change ends empty" 200 "\"seq\":$seq.*\"tasks\":\[\]" GET "$v/tasks?epoch=1&after=$seq&wait_ms=10"
total lapsed 1
total stopped 1
total failed 1

# One task in two places, and completed twice.
check "first place" 200 '{}' POST $w/start "$(start d/0 1 7 5000 9000 1000 200 x)"
check "second place" 200 '{}' POST $v/start "$(start d/0 2 1 5000 9000 1000 200 x)"
sleep 0.6
total concurrent 1
total duplicated 1
check "records name the task" 200 '"id":"d/0".*"completions":2,"concurrent":1' GET /control/records

# Leaving, failing, unreachable and down targets.
check "leaving" 200 '{}' POST /control/target/w0000 '{"leaving":true}'
check "no start on a leaving target" 503 leaving POST $w/start "$(start e/0 1 7 5000 9000 1000 50 x)"
check "the target tells that it leaves" 200 '"leaving":true' GET "$w/tasks?epoch=7"
total started_after_leaving 0
check "fail everything" 200 '{}' POST /control/target/w0001 '{"fail":true}'
check "start on a failing target" 200 '{}' POST $v/start "$(start j/0 1 1 5000 9000 1000 50000 x)"
sleep 0.3
check "it fails" 200 '"j/0","attempt":1,"state":"failed"' GET "$v/tasks?epoch=1"
check "unreachable" 200 '{}' POST /control/target/w0001 '{"unreachable":true}'
check "no answer" 000 '' GET "$v/tasks?epoch=1"
check "reachable" 200 '{}' POST /control/target/w0001 '{"unreachable":false,"fail":false}'
check "tasks ran on" 200 '"j/0"' GET "$v/tasks?epoch=1"
check "long run before the end" 200 '{}' POST $v/start "$(start k/0 1 1 5000 9000 1000 60000 x)"
check "down" 200 '{}' POST /control/target/w0001 '{"down":true}'
total killed 1
sleep 0.3
check "a dead target leaves the list" 200 '"removed":\["w0001"\]' GET '/vms?since=3'
check "up" 200 '{}' POST /control/target/w0001 '{"down":false}'
check "the fence outlives the failure" 200 '"tasks":\[\]' GET "$v/tasks?epoch=1"
sleep 3
check "a start long after the sign of leaving" 503 leaving POST $w/start "$(start e/0 2 7 5000 9000 1000 50 x)"
total started_after_leaving 1

# Connections of an executor: four waiting reads are its limit here, a fifth call exceeds it.
total overloaded 0
for _ in 1 2 3 4; do
  curl -s -m 3 "$url$x/tasks?epoch=1&after=1&wait_ms=1500" > /dev/null &
done
sleep 0.5
check "a fifth call" 200 tasks GET "$x/tasks?epoch=1"
total overloaded 1

# List: lag, versions, entry VMs.
check "register" 200 peer POST /control/vms '{"id":"e1","region":"attica","zone":"z","peer":"127.0.0.1:9","url":"http://127.0.0.1:8","incarnation":5}'
version=$(curl -s "$url/vms" | sed 's/.*"version":\([0-9]*\).*/\1/')
check "it shows after the lag" 200 '"vms":\[\]' GET "/vms?since=$version"
sleep 0.4
check "only the change is listed" 200 '"full":false,"vms":\[\{"id":"e1","role":"entry"[^}]*\}\]' GET "/vms?since=$version"
check "unregister" 200 '{}' DELETE /control/vms/e1
sleep 0.4
check "removal is listed" 200 '"removed":\["e1"\]' GET "/vms?since=$((version + 1))"
check "an unknown version gets everything" 200 '"full":true' GET '/vms?since=99999'
check "list down" 200 '{}' POST /control/list '{"down":true}'
check "no list" 503 unavailable GET /vms

[ "$failures" = 0 ] && echo "e2e_standin: all checks passed"
exit $((failures > 0))
