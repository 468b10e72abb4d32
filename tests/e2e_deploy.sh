#!/usr/bin/env bash
# The command of the deploy file. Guards against processes that do not start because whoever runs them
# fills in no value for a setting that has a default.
set -u
build=${1:?usage: e2e_deploy.sh BUILD_FOLDER}
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pid=
trap '[ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null; rm -rf "$work"' EXIT
failures=0

# fail TEXT
fail () {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

# deploy_value KEY: prints the value of a line KEY = "VALUE" or KEY = { VALUE }
deploy_value () {
  sed -n -e "s/^$1 = \"\(.*\)\"\$/\1/p" -e "s/^$1 = { \(.*\) }\$/\1/p" "$root/deploy/system.toml" | head -n 1
}

# fill TEXT BASE_PORT: fills in the settings that each installation has
fill () {
  sed -e "s/{{nodeName}}/e1/g; s/{{zone}}/z/g; s/{{region}}/r/g; s/{{ip}}/127.0.0.1/g" \
    -e "s/{{listen.frontend}}/127.0.0.1:$2/g; s/{{listen.ready}}/127.0.0.1:$(($2 + 1))/g" \
    -e "s/{{portRange.0}}/$(($2 + 2))/g; s/{{portRange.1}}/$(($2 + 3))/g" \
    -e "s/{{platform.address}}/127.0.0.1:9/g; s/{{recommendation}}/127.0.0.1:9/g" \
    -e "s/{{limits.cpuShare}}/0.25/g; s/{{bounds.holdMaxMs}}/10000/g" \
    -e "s/{{bounds.stopTimeoutMs}}/200/g; s/{{bounds.status_s}}/120/g; s/{{bounds.graceS}}/6/g" <<<"$1"
}

# start BASE_PORT VARIABLE...: starts the command with these variables; fails unless it serves its metrics
start () {
  local base=$1 command
  shift
  command=$(fill "$(deploy_value run)" "$base")
  # shellcheck disable=SC2086
  (cd "$root" && exec env "$@" "$build"/${command#target/}) >"$work/log" 2>&1 &
  pid=$!
  for _ in $(seq 100); do
    kill -0 "$pid" 2>/dev/null || { wait "$pid"; pid=; return 1; }
    curl -s -o "$work/none" "http://127.0.0.1:$((base + 3))/none" && return 0
    sleep 0.1
  done
  return 1
}

# The variables that the deploy file sets, with a placeholder each.
variables=$(deploy_value env | grep -o 'GENTIANRELAY_[A-Z_]* = "{{[a-zA-Z.]*}}"')
[ "$(wc -l <<<"$variables")" = 2 ] || fail "the deploy file sets other variables than expected: $variables"

# NAME|VALUE OF EACH VARIABLE|PART OF THE LINE THAT REPORTS THE START
while IFS='|' read -r name memory fds expected; do
  declare -A values=([GENTIANRELAY_MEMORY_MB]=$memory [GENTIANRELAY_MAX_FDS]=$fds)
  set --
  for variable in "${!values[@]}"; do
    [ "${values[$variable]}" = unset ] || set -- "$@" "$variable=${values[$variable]}"
  done
  started=
  for attempt in $(seq 20); do
    if start $((20000 + (BASHPID + attempt * 977) % 10000)) "$@"; then
      started=yes
      break
    fi
    # Any other reason than a port that is taken holds for all ports.
    grep -q "EADDRINUSE\|address already in use" "$work/log" || break
  done
  if [ -z "$started" ]; then
    fail "$name: the command does not start: $(cat "$work/log")"
    continue
  fi
  grep -q "E100 .*$expected" "$work/log" || fail "$name: not started with $expected: $(grep E100 "$work/log")"
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null
  pid=
done <<'CASES'
no variable is set|unset|unset|memory_mb=120 max_fds=3075
variables without a value||| memory_mb=120 max_fds=3075
limits of the VM|260|4100|memory_mb=260 max_fds=4100
CASES

if start 29990 GENTIANRELAY_MEMORY_MB=lots; then
  fail "a limit that is no number is taken"
elif ! grep -q "memory-mb" "$work/log"; then
  fail "the setting that is wrong is not named: $(cat "$work/log")"
fi

[ "$failures" = 0 ] || exit 1
echo "passed"
