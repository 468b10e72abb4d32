# Sourced by the run.sh of a case, which sets case, seconds and interval_ms, and targets if they are not
# 24. Starts gr-world3, which starts the edges with the words of the deploy file and ends all that it
# started.
set -u
root=$(cd "$here/../.." && pwd)
world=$root/target/review3/gr-world3
edge=$root/target/gentianrelay-edge
if [ ! -x "$world" ] || [ ! -x "$edge" ]; then
  echo "missing: build with the command of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
export GENTIANRELAY_MEMORY_MB=260 GENTIANRELAY_MAX_FDS=4100
logs=$(mktemp -d)
timeout -s INT -k 2 118 "$world" --case="$case" --trouble="${TROUBLE:-1}" --seed="${SEED:-1}" \
  --seconds="$seconds" --interval-ms="$interval_ms" --vms=9 --targets="${targets:-24}" \
  --edge="$edge" --logs="$logs" \
  --edge-options="--cpu-share=0.25 --advice=127.0.0.1:9" \
  > "$logs/verdict.txt" 2>&1 &
pid=$!
trap 'kill "$pid" 2> /dev/null; exit 2' INT TERM
wait "$pid"
code=$?
{
  echo "# verdict, exit $code"
  cat "$logs/verdict.txt"
  echo "# what was sent, answered and run: S start, E end, A end taken note of, L lease, X stop"
  cat "$logs/events.txt"
} > "$here/record.txt" 2> /dev/null
if [ -z "${KEEP_LOGS:-}" ]; then
  rm -rf "$logs"
else
  echo "logs: $logs"
fi
sed -n '/^# verdict/,/^# what/p' "$here/record.txt" | grep -v '^#' | tail -n 3
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
