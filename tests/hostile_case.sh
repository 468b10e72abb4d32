#!/usr/bin/env bash
# Clients outside our control that send whole requests of legal size, one test a case: hostile_case.sh BUILD_FOLDER CASE
# runs one, hostile_case.sh list prints the names. The VMs have less memory than any real one, so that a small crowd
# shows what a large one does to those.
set -u

# Cases and what each guards against.
declare -A cases=(
  # Many tasks in each job, which wait: state of each from its acceptance on.
  [wide]="run_case wide 8 20"
  # Many steps in each job, with a long specification.
  [long]="run_case long 8 20"
  # Whole bodies of the largest size, many at once.
  [padded]="run_case padded 200 4"
  # Timetables of which all occurrences are due at once.
  [due]="run_case due 8 20"
  # Timetables that are due in the far future.
  [later]="run_case later 8 1000"
  # Tasks without a demand, which all start at once and end at once.
  [ends]="run_case ends 4 5"
  # Tasks without a demand, which all start at once and go on.
  [roomless]="run_case roomless 8 10"
  # Jobs that wait for room.
  [waiting]="run_case waiting 8 600"
  # Ended jobs, which are kept for late questions.
  [small]="run_case small 8 2000"
  # The same, each with an image of its own, of which the run times are learned.
  [images]="run_case images 8 2000"
  # Jobs that no target can run.
  [labels]="run_case labels 8 2000"
  # Cancellations of jobs that nobody handed in, which must not start later.
  [cancels]="run_case cancels 8 2500"
  # States of jobs that nobody handed in.
  [lookups]="run_case lookups 8 1000"
  # Records of accepted jobs, which each VM that takes over has to load.
  [wide_takeover]="run_takeover wide 8 20"
  # The same where a VM with more memory has accepted them.
  [waiting_smaller]="run_smaller waiting 8 600"
  # Submissions that wait for the store.
  [long_store]="run_stalled store long 400 2"
  # Calls that wait for the leader.
  [padded_leader]="run_stalled leader padded 200 4"
)
if [ "${1:-}" = list ]; then
  printf '%s\n' "${!cases[@]}"
  exit 0
fi
build=${1:?usage: hostile_case.sh BUILD_FOLDER CASE | list}
. "$(dirname "$0")/hostile/cell.bash"
memory_mb=32
large_mb=256
${cases[${2:?usage: hostile_case.sh BUILD_FOLDER CASE | list}]:?unknown case}
exit $((failures > 0))
