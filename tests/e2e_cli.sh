#!/usr/bin/env bash
# Runs the built program "gentianrelay" on the sample folders and on wrong input, and checks that
# the generated documents in the repository are up to date. Guards against errors that do not name
# file, line and key, and against committed documents that differ from the tables of the program.
set -u
build=${1:?usage: e2e_cli.sh BUILD_FOLDER}
cli=$build/gentianrelay
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

# expect NAME EXIT_CODE TEXT COMMAND...: checks the exit code, and that standard output and standard
# error together contain TEXT
expect () {
  local name=$1 code=$2 text=$3 output status
  shift 3
  output=$("$@" 2>&1)
  status=$?
  if [ "$status" != "$code" ] || [[ "$output" != *"$text"* ]]; then
    echo "FAILED $name: exit $status, expected $code with '$text'; output:"
    printf '%s\n' "$output"
    failures=$((failures + 1))
  fi
}

# folder NAME: creates a folder and prints its path
folder () {
  mkdir -p "$work/$1"
  echo "$work/$1"
}

# The sample folders have no problem, and each value names the file and author that set it.
for sample in agora caroni; do
  expect "$sample checks" 0 "no problem" "$cli" config check "examples/$sample"
  expect "$sample shows" 0 "kind.settlement.idempotent = false" "$cli" config show "examples/$sample"
  expect "$sample has exclusive kinds" 0 "kind.moderation.exclusive = true" \
    "$cli" config show "examples/$sample"
  expect "$sample prints JSON" 0 '"values": [' "$cli" config show "examples/$sample" --json
  expect "$sample has no problem as JSON" 0 '"ok": true' \
    "$cli" config check "examples/$sample" --json
done
expect "replaced priority" 0 \
  "team.sport.priority = 450  # 90-season.conf:7, Dimitra Ioannou: The cup finals" \
  "$cli" config show examples/agora --origin
expect "strictest limit" 0 "limit.forecasting.quota_cpu_milli = 80000  # 70-finance.conf:6" \
  "$cli" config show examples/caroni --origin
expect "explain" 0 "author: Ravi Boodoo" \
  "$cli" config explain team.barges.priority examples/caroni
expect "explain names the limit" 0 "limit.sport.quota_cpu_milli = 56000 of 90-season.conf:12" \
  "$cli" config explain team.sport.quota_cpu_milli examples/agora

# Invalid folders: the error names file, line, key, value and the allowed values.
dir=$(folder range)
printf 'team x {\n  region = r\n  priority = 2000\n}\n' > "$dir/a.conf"
expect "range" 2 "a.conf:3: invalid: team.x.priority: '2000' is not allowed; allowed is a whole number from 0 to 1000" \
  "$cli" config check "$dir"
expect "range as JSON" 2 '"line": 3' "$cli" config check "$dir" --json
dir=$(folder bytes)
printf 'team "\xff" { region = "\xc3\x28\xe2\x82" }\n' > "$dir/a.conf"
expect "bytes that are not UTF-8" 2 "a.conf:1: invalid: team.?.region: '?(??' is not allowed" \
  "$cli" config check "$dir"
expect "bytes that are not UTF-8, as JSON" 2 "'?(??' is not allowed" \
  "$cli" config check "$dir" --json
dir=$(folder conflict)
printf 'team x { region = r }\n' > "$dir/1.conf"
printf '\nteam x { region = s }\n' > "$dir/2.conf"
expect "conflict names both files" 2 "2.conf:2: conflict: team.x.region: 's' changes 'r' of line 1" \
  "$cli" config check "$dir"
expect "conflict names the earlier file" 2 "(1.conf:1)" "$cli" config check "$dir"
dir=$(folder unknown)
printf 'team x { region = r colour = red }\n' > "$dir/a.conf"
expect "unknown option" 2 "a.conf:1: unknown_field: team.x.colour: 'colour' is not defined; allowed are region" \
  "$cli" config check "$dir"
expect "publish refuses a wrong folder" 2 "team.x.colour" \
  "$cli" config publish "$dir" --author=Ann --platform=http://127.0.0.1:1

# Valid folders with warnings: they are not errors, and only --strict makes them fail.
dir=$(folder warned)
printf 'team x {\n  region = r\n  quota_slots = 2\n}\nlimit x { quota_slots = 3 }\n' > "$dir/a.conf"
expect "warning" 0 "a.conf:5: warning: limit_above_quota: limit.x.quota_slots: 3 is above" \
  "$cli" config check "$dir"
expect "warning names the other line" 1 "(a.conf:3)" "$cli" config check "$dir" --strict
expect "warning as JSON" 0 '"code": "limit_above_quota"' "$cli" config check "$dir" --json
"$cli" config show "$dir" --json > "$work/earlier.json"
sed -i 's/= 2/= 4/' "$dir/a.conf"
expect "differences from a file" 0 "~ team.x.quota_slots: 2 -> 4  # a.conf:3" \
  "$cli" config check "$dir" --against="$work/earlier.json"
expect "no difference from itself" 0 "0 differences from" \
  "$cli" config check "$dir" --against="$dir"

# Exit codes and settings.
expect "no verb" 2 "Usage:" "$cli"
expect "version" 0 "gentianrelay " "$cli" --version
expect "help of a verb" 0 "--within-ms" "$cli" submit --help
expect "no daemon" 3 "unavailable" env GENTIANRELAY_SERVER=http://127.0.0.1:1 "$cli" top
expect "wrong environment" 2 "timeout-ms" env GENTIANRELAY_TIMEOUT_MS=soon "$cli" top

# up_to_date DOCUMENT FILE: compares a committed document with the output of the program
up_to_date () {
  if ! diff -u "$2" <("$cli" doc "$1") > "$work/diff"; then
    echo "FAILED: $2 differs from 'gentianrelay doc $1'; run scripts/generate-docs"
    cat "$work/diff"
    failures=$((failures + 1))
  fi
}
up_to_date man man/gentianrelay.1
up_to_date man-config man/gentianrelay.conf.5
up_to_date completion scripts/completion/gentianrelay.bash
sed -n '/^<!-- generated keys -->$/,/^<!-- end of generated keys -->$/p' docs/configuration.md \
  | sed '1d;$d' > "$work/configuration.md"
up_to_date configuration "$work/configuration.md"

# complete_words WORD...: prints the completions of the last word
complete_words () {
  bash -c '. scripts/completion/gentianrelay.bash
    COMP_WORDS=("$@"); COMP_CWORD=$(($# - 1)); _gentianrelay; echo "${COMPREPLY[*]}"' bash "$@"
}
expect "completes verbs" 0 "submit" complete_words gentianrelay sub
expect "completes config verbs" 0 "explain" complete_words gentianrelay config ex
expect "completes options" 0 "--within-ms" complete_words gentianrelay submit --wi
expect "completes options of two words" 0 "--platform" \
  complete_words gentianrelay config publish --pl

[ "$failures" = 0 ] && echo "all cases passed"
exit "$((failures > 0))"
