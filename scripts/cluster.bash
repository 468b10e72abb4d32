# Functions that start a stand-in and entry VMs on loopback; sourced by the demo, the benchmarks and
# the end-to-end tests. On exit every process that was started is killed by its process id.
# Set "build" before sourcing this file; cell_open also needs "root", the root of the repository.
# CLUSTER_KEEP_LOGS, if not empty, keeps the logs.

cluster_work=$(mktemp -d)
cluster_key=cluster-test-key
declare -A cluster_pid cluster_url load_pid
standin_pid=""
standin_url=""
load_code=0
# Longest wait for the graceful stop of a daemon, which exits by itself.
cluster_stop_wait_s=35

cluster_end() {
  local pid
  for pid in "${load_pid[@]}" "${cluster_pid[@]}" $standin_pid; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
    wait "$pid" 2> /dev/null
  done
  if [ -n "${CLUSTER_KEEP_LOGS:-}" ]; then
    echo "logs: $cluster_work" >&2
  else
    rm -rf "$cluster_work"
  fi
}
trap cluster_end EXIT

cluster_fail() {
  echo "$0: $*" >&2
  exit 1
}

# standin_start FLAG...: starts the stand-in on a free port and sets standin_url.
standin_start() {
  "$build/gr-standin" --port-file "$cluster_work/standin.port" "$@" 2> "$cluster_work/standin.log" &
  standin_pid=$!
  for _ in $(seq 100); do
    [ -s "$cluster_work/standin.port" ] && break
    sleep 0.1
  done
  [ -s "$cluster_work/standin.port" ] || cluster_fail "the stand-in did not start"
  standin_url="http://127.0.0.1:$(cat "$cluster_work/standin.port")"
}

# standin_control PATH JSON: POST to the control interface of the stand-in.
standin_control() {
  curl -sf -m 10 -X POST "$standin_url/control/$1" -d "$2" > /dev/null
}

# vm_start ID REGION ZONE: starts a daemon on free ports and registers it with the stand-in.
vm_start() {
  local id=$1 region=$2 zone=$3 log="$cluster_work/$1.log" http peer line
  GENTIANRELAY_PEER_KEY=$cluster_key "$build/gentianrelayd" --vm-id "$id" --region "$region" \
    --zone "$zone" --http-listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
    --platform-url "$standin_url" 2> "$log" &
  cluster_pid[$id]=$!
  for _ in $(seq 100); do
    line=$(grep -a -m 1 'E100 ' "$log") && break
    sleep 0.1
  done
  [ -n "$line" ] || cluster_fail "$id did not start: $(tail -n 3 "$log")"
  http=$(echo "$line" | sed 's/.* http \([0-9]*\).*/\1/')
  peer=$(echo "$line" | sed 's/.* peer \([0-9]*\).*/\1/')
  cluster_url[$id]="http://127.0.0.1:$http"
  vm_register "$id" "$region" "$zone" "127.0.0.1:$peer" \
    "$(echo "$line" | sed 's/.* incarnation \([0-9]*\).*/\1/')"
}

# vm_register ID REGION ZONE PEER INCARNATION
vm_register() {
  standin_control vms "{\"id\":\"$1\",\"region\":\"$2\",\"zone\":\"$3\",\"peer\":\"$4\",\
\"url\":\"${cluster_url[$1]}\",\"incarnation\":$5}" || cluster_fail "$1 was not registered"
}

# vm_unregister ID
vm_unregister() {
  curl -sf -m 10 -X DELETE "$standin_url/control/vms/$1" > /dev/null
}

# vm_wait_ready ID...: waits until /healthz of each daemon reports success.
vm_wait_ready() {
  local id
  for id in "$@"; do
    for _ in $(seq 300); do
      curl -sf -m 2 "${cluster_url[$id]}/healthz" > /dev/null && continue 2
      sleep 0.1
    done
    cluster_fail "$id is not ready: $(curl -s -m 2 "${cluster_url[$id]}/healthz")"
  done
}

# vm_kill ID: kills the daemon and removes it from the VM list of the stand-in.
vm_kill() {
  kill -KILL "${cluster_pid[$1]}"
  wait "${cluster_pid[$1]}" 2> /dev/null
  unset "cluster_pid[$1]"
  vm_unregister "$1"
}

# vm_stop ID: stops the daemon gracefully, waits for its exit and removes it from the VM list.
vm_stop() {
  local pid=${cluster_pid[$1]} code
  kill -TERM "$pid"
  for _ in $(seq $((cluster_stop_wait_s * 10))); do
    kill -0 "$pid" 2> /dev/null || break
    sleep 0.1
  done
  kill -0 "$pid" 2> /dev/null && cluster_fail "$1 did not stop within $cluster_stop_wait_s s"
  wait "$pid"
  code=$?
  unset "cluster_pid[$1]"
  vm_unregister "$1"
  [ "$code" = 0 ] || cluster_fail "$1 stopped with status $code"
}

# vm_urls ID...: prints the base URLs, separated by commas.
vm_urls() {
  local id list=""
  for id in "$@"; do
    list="$list${list:+,}${cluster_url[$id]}"
  done
  echo "$list"
}

# config_publish SERVER FOLDER
config_publish() {
  "$build/gentianrelay" config publish --server "$1" --platform "$standin_url" --author demo \
    "$2" > "$cluster_work/publish.log" 2>&1 || cluster_fail "publish: $(cat "$cluster_work/publish.log")"
}

# cell_open COUNT FLAG...: starts a stand-in with the flags and COUNT entry VMs e1, e2, ... in one
# region, publishes the sample configuration and waits until it is in force.
cell_open() {
  local count=$1 id ids=""
  shift
  standin_start --regions attica --seed "${SEED:-1}" "$@"
  for id in $(seq "$count"); do
    vm_start "e$id" attica "attica-z$((id % 3))"
    ids="$ids e$id"
  done
  # shellcheck disable=SC2086
  vm_wait_ready $ids
  config_publish "${cluster_url[e1]}" "$root/examples/agora"
}

# load_start NAME FLAG...: starts gr-load in the background. The ids that it submits begin with
# NAME.
# load_wait NAME: waits for it, prints its result lines and the first lines of its standard error,
# and sets load_code to 1 if it failed.
load_start() {
  local name=$1
  shift
  "$build/gr-load" --standin "$standin_url" --lines "$cluster_work/$name.lines" --prefix "$name-" \
    --seed "${SEED:-1}" "$@" > "$cluster_work/$name.out" 2> "$cluster_work/$name.err" &
  load_pid[$name]=$!
}

load_wait() {
  wait "${load_pid[$1]}" || load_code=1
  unset "load_pid[$1]"
  head -n "${CLUSTER_COMPLAINTS:-20}" "$cluster_work/$1.err" >&2
  cat "$cluster_work/$1.out"
}

# load_count NAME FIELD: prints a number of the result line "submitted=...".
load_count() {
  sed -n "s/^submitted=.*/ &/; s/.* $2=\([0-9]*\).*/\1/p" "$cluster_work/$1.out" | tail -n 1
}
