#!/usr/bin/env bash
# run-case.sh FOLDER CASE TROUBLE: starts the stand-in and three edge processes with the command of
# the deploy file, on loopback, and exits with the verdict of the stand-in. Called by N/run.sh.
set -u
case_dir=$(cd "$1" && pwd)
case=$2
trouble=$3
cd "$(dirname "$0")/.."
edges=3
work=$(mktemp -d)
pids=
finish () {
  for pid in $pids; do
    kill -KILL "$pid" 2> /dev/null
    wait "$pid" 2> /dev/null
  done
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

target/review/world "$case" "$work/ports" "$case_dir/record.txt" "$edges" "$trouble" &
world=$!
pids=$world
for _ in $(seq 100); do
  [ "$(grep -c . "$work/ports" 2> /dev/null)" = $((edges + 1)) ] && break
  kill -0 "$world" 2> /dev/null || exit 2
  sleep 0.05
done
store=$(sed -n 's/^store //p' "$work/ports")
[ -n "$store" ] || exit 2

command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
i=0
while read -r front ready metrics peer; do
  i=$((i + 1))
  line=$(echo "$command" | sed -e "s/{{nodeName}}/e$i/; s/{{zone}}/z1/; s/{{region}}/r1/" \
    -e "s/{{listen.frontend}}/127.0.0.1:$front/; s/{{listen.ready}}/127.0.0.1:$ready/" \
    -e "s/{{ip}}:{{portRange.1}}/127.0.0.1:$metrics/; s/{{ip}}/127.0.0.1/" \
    -e "s/{{portRange.0}}/$peer/; s/{{platform.address}}/127.0.0.1:$store/" \
    -e "s/{{recommendation}}/127.0.0.1:$store/; s/{{limits.cpuShare}}/0.25/; s/{{bounds.holdMaxMs}}/10000/" \
    -e "s/{{bounds.stopTimeoutMs}}/200/; s/{{bounds.status_s}}/120/; s/{{bounds.graceS}}/6/")
  # shellcheck disable=SC2086
  $line > "$work/e$i.log" 2>&1 &
  pids="$pids $!"
done < <(sed -n 's/^edge //p' "$work/ports")

wait "$world"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  cp "$work"/e*.log "$KEEP_LOGS"
fi
exit "$code"
