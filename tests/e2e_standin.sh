#!/usr/bin/env bash
# Checks the stand-in platform over HTTP. The other end-to-end tests check the daemons against the
# stand-in's records, so a stand-in that starts a task twice or loses a fence would hide their
# faults.
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

# check NAME STATUS PATTERN METHOD PATH [BODY]; status 000: the connection closes unanswered.
check() {
  local name=$1 status=$2 pattern=$3 method=$4 path=$5 body=${6-}
  local got
  got=$(curl -s -m 20 -o "$work/body" -w '%{http_code}' -X "$method" "$url$path" \
    ${body:+--data-binary "$body"})
  if [ "$got" != "$status" ] || ! LC_ALL=C grep -qazE -- "$pattern" "$work/body" 2> /dev/null; then
    if [ "$status" = 000 ] && [ "$got" = 000 ]; then
      return
    fi
    echo "FAILED $name: status $got, expected $status; body $(head -c 300 "$work/body" | tr -d "\0"), expected /$pattern/"
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

# Log service: offsets, retention, outage, lost answers.
check "first append has offset 0" 200 '"offset":0' POST /log/s one
check "second append has offset 1" 200 '"offset":1' POST /log/s two
check "streams have separate offsets" 200 '"offset":0' POST /log/other one
check "read from the start" 200 'one.*two' GET '/log/s?from=0'
check "read from an offset" 200 '^[^o]*two' GET '/log/s?from=1'
check "empty stream name" 400 invalid POST /log/ x
check "third append" 200 '"offset":2' POST /log/s three
check "fourth append" 200 '"offset":3' POST /log/s four
check "retention drops the oldest" 200 '^[^o]*two.*four' GET '/log/s?from=0'
check "start an outage" 200 '"outage":true' POST /control/log '{"outage":true}'
check "append during the outage" 503 unavailable POST /log/s lost
check "read during the outage" 503 unavailable GET '/log/s?from=0'
check "end the outage" 200 '"outage":false' POST /control/log '{"outage":false}'
check "the refused append left no record" 200 '"offset":4' POST /log/s five
check "lose every answer" 200 1000 POST /control/log '{"lost_permille":1000}'
check "append with a lost answer" 000 '' POST /log/s six
check "lose no more answers" 200 '"lost_permille":0' POST /control/log '{"lost_permille":0}'
check "the append with the lost answer took effect" 200 'six' GET '/log/s?from=5'
check "the store does not deduplicate" 200 '"offset":6' POST /log/s six

# Starts: idempotence by task and attempt, fence, late starts, capacity, stop before start.
body=$(start a/0 1 5 5000 9000 1000 100 hello)
check "start" 200 '{}' POST $w/start "$body"
check "repeated start" 200 '{}' POST $w/start "$body"
total started 1
check "start with a stale epoch" 409 '"stale_epoch".*"epoch":5' POST $w/start "$(start b/0 1 4 5000 9000 1000 100 x)"
check "read of the tasks raises the fence" 200 '"tasks"' GET "$w/tasks?epoch=7"
check "start below the raised fence" 409 '"epoch":7' POST $w/start "$(start b/0 1 6 5000 9000 1000 100 x)"
check "read of the tasks below the fence" 409 stale_epoch GET "$w/tasks?epoch=6"
check "late start" 410 late POST $w/start "$(start b/0 1 7 -1 9000 1000 100 x)"
check "start with an expired lease" 410 late POST $w/start "$(start b/0 1 7 5000 -1 1000 100 x)"
check "start beyond the capacity" 507 full POST $w/start "$(start b/0 1 7 5000 9000 32001 100 x)"
check "start that demands slots of a worker" 507 full POST $w/start \
  "$(start b/0 1 7 5000 9000 1 100 x | sed 's/"memory_mb":64/"slots":1/')"
check "malformed start" 400 invalid POST $w/start '{"task":"b/0"}'
check "stop before start" 200 '{}' POST $w/stop '{"task":"c/0","attempt":1}'
check "start after its stop" 410 stopped POST $w/start "$(start c/0 1 7 5000 9000 1000 100 x)"
check "another attempt of the stopped task starts" 200 '{}' POST $w/start "$(start c/0 2 7 5000 9000 1000 100 x)"
total overcommit_refused 2
total overloaded 0

# Ends of tasks: answers by task and payload, failure on request, large answers, leases, stops.
check "long poll returns the end of the task" 200 '"a/0".*"succeeded".*"answer":"a/0:[0-9a-f]{16}"' GET "$w/tasks?epoch=7&after=0"
check "start that fails" 200 '{}' POST $v/start "$(start f/0 1 1 5000 9000 1000 50 fail)"
check "start with a large answer" 200 '{}' POST $v/start "$(start l/0 1 1 5000 9000 1000 50 answer=262144)"
check "start with a short lease" 200 '{}' POST $v/start "$(start g/0 1 1 5000 300 1000 5000 x)"
check "start with a lease to be renewed" 200 '{}' POST $v/start "$(start h/0 1 1 5000 300 1000 600 x)"
check "lease renewal" 200 '{}' POST $v/lease "{\"lease_until_ms\":$(($(now) + 9000)),\"tasks\":[[\"h/0\",1]]}"
check "start with a long run time" 200 '{}' POST $v/start "$(start i/0 1 1 5000 9000 1000 60000 x)"
check "stop of a running task" 200 '{}' POST $v/stop '{"task":"i/0","attempt":1}'
sleep 1
check "failed task" 200 '"f/0".*"failed"' GET "$v/tasks?epoch=1"
length=$(curl -s "$url$v/tasks?epoch=1" | grep -o '"l/0:[^"]*"' | wc -c)
if [ "$length" != $((262144 + 3)) ]; then
  echo "FAILED complete large answer: got $length bytes, expected $((262144 + 3))"
  failures=$((failures + 1))
fi
check "task with an expired lease" 200 '"g/0","attempt":1,"state":"lapsed"' GET "$v/tasks?epoch=1"
check "task with a renewed lease" 200 '"h/0","attempt":1,"state":"succeeded"' GET "$v/tasks?epoch=1"
check "stopped task" 200 '"i/0","attempt":1,"state":"stopped"' GET "$v/tasks?epoch=1"
seq=$(curl -s "$url$v/tasks?epoch=1" | sed 's/{"seq":\([0-9]*\).*/\1/')
check "long poll without a change returns no tasks" 200 "\"seq\":$seq.*\"tasks\":\[\]" GET "$v/tasks?epoch=1&after=$seq&wait_ms=10"
total lapsed 1
total stopped 1
total failed 1

# Two attempts of one task run at the same time and both complete.
check "first attempt of a task" 200 '{}' POST $w/start "$(start d/0 1 7 5000 9000 1000 200 x)"
check "concurrent attempt on another target" 200 '{}' POST $v/start "$(start d/0 2 1 5000 9000 1000 200 x)"
sleep 0.6
total concurrent 1
total duplicated 1
check "records of the task" 200 '"id":"d/0".*"completions":2,"concurrent":1' GET /control/records

# Targets that leave, fail every task, are unreachable or are down.
check "mark a target as leaving" 200 '{}' POST /control/target/w0000 '{"leaving":true}'
check "start on a leaving target" 503 leaving POST $w/start "$(start e/0 1 7 5000 9000 1000 50 x)"
check "read of the tasks reports that the target is leaving" 200 '"leaving":true' GET "$w/tasks?epoch=7"
total started_after_leaving 0
check "make every task of a target fail" 200 '{}' POST /control/target/w0001 '{"fail":true}'
check "start on the failing target" 200 '{}' POST $v/start "$(start j/0 1 1 5000 9000 1000 50000 x)"
sleep 0.3
check "task on the failing target" 200 '"j/0","attempt":1,"state":"failed"' GET "$v/tasks?epoch=1"
check "make the target unreachable" 200 '{}' POST /control/target/w0001 '{"unreachable":true}'
check "call to the unreachable target" 000 '' GET "$v/tasks?epoch=1"
check "make the target reachable again" 200 '{}' POST /control/target/w0001 '{"unreachable":false,"fail":false}'
check "tasks are kept while the target is unreachable" 200 '"j/0"' GET "$v/tasks?epoch=1"
check "start before the target goes down" 200 '{}' POST $v/start "$(start k/0 1 1 5000 9000 1000 60000 x)"
check "take the target down" 200 '{}' POST /control/target/w0001 '{"down":true}'
total killed 1
sleep 0.3
check "a target that is down is removed from the list" 200 '"removed":\["w0001"\]' GET '/vms?since=3'
check "bring the target up again" 200 '{}' POST /control/target/w0001 '{"down":false}'
check "the fence is kept over the failure" 200 '"tasks":\[\]' GET "$v/tasks?epoch=1"
sleep 3
check "start long after the first sign of leaving" 503 leaving POST $w/start "$(start e/0 2 7 5000 9000 1000 50 x)"
total started_after_leaving 1

# Connections of an executor: four waiting reads reach its limit of four, a fifth call exceeds it.
total overloaded 0
for _ in 1 2 3 4; do
  curl -s -m 3 "$url$x/tasks?epoch=1&after=1&wait_ms=1500" > /dev/null &
done
sleep 0.5
check "fifth concurrent call" 200 tasks GET "$x/tasks?epoch=1"
total overloaded 1

# VM list: lag, versions, entry VMs.
check "register an entry VM" 200 peer POST /control/vms '{"id":"e1","region":"attica","zone":"z","peer":"127.0.0.1:9","url":"http://127.0.0.1:8","incarnation":5}'
version=$(curl -s "$url/vms" | sed 's/.*"version":\([0-9]*\).*/\1/')
check "the entry VM is not listed before the lag has passed" 200 '"vms":\[\]' GET "/vms?since=$version"
sleep 0.4
check "the list since a version has only the change" 200 '"full":false,"vms":\[\{"id":"e1","role":"entry"[^}]*\}\]' GET "/vms?since=$version"
check "unregister the entry VM" 200 '{}' DELETE /control/vms/e1
sleep 0.4
check "the removal is listed" 200 '"removed":\["e1"\]' GET "/vms?since=$((version + 1))"
check "an unknown version returns the full list" 200 '"full":true' GET '/vms?since=99999'
check "take the list down" 200 '{}' POST /control/list '{"down":true}'
check "read of the list while it is down" 503 unavailable GET /vms

[ "$failures" = 0 ] && echo "e2e_standin: all checks passed"
exit $((failures > 0))
