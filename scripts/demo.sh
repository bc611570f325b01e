#!/usr/bin/env bash
# Demonstrates a fleet of the size of Luz de Umbral on loopback: 4 failure domains,
# 3 entries, 11 endpoints with 8 slots each, and the stand-in store. All queries
# and commands go through the command line, and every step is checked. The exit
# status is zero if all steps succeeded. DEMO_NUMBER (1 to 250) selects the
# loopback address 127.0.NUMBER.1.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

number=${DEMO_NUMBER:-201}
ip="127.0.$number.1"
dir=$(mktemp -d)
export POMELOSILL_ADMIN="$ip:24001,$ip:24002,$ip:24003"
export POMELOSILL_ENTRY="$ip:23001,$ip:23002,$ip:23003"

# finish stops every process and deletes the logs unless a step has failed.
finish() {
  local status=$?
  step "Stop every process"
  fleet_stop "$dir" || true
  if ((status == 0)); then
    echo "demo: done"
    rm -rf "$dir"
  else
    echo "demo: FAILED, logs are in $dir" >&2
  fi
  exit "$status"
}

# step prints the heading of a step of the demo.
step() {
  printf '\n== %s\n' "$*"
}

fail() {
  echo "demo: $*" >&2
  exit 1
}

# print_quoted prints its arguments, quoted for the shell.
print_quoted() {
  local argument
  for argument in "$@"; do
    if [[ $argument =~ ^[A-Za-z0-9_.,:/-]+$ ]]; then
      printf ' %s' "$argument"
    else
      printf " '%s'" "$argument"
    fi
  done
}

# run prints a command and runs it.
run() {
  printf '$ pomelosill%s\n' "$(print_quoted "$@")"
  "$FLEET_BIN/pomelosill" "$@"
}

# expect STATUS ARGUMENTS... runs a command and fails unless it exits with STATUS.
expect() {
  local want=$1 got=0
  shift
  run "$@" || got=$?
  ((got == want)) || fail "exit status $got, expected $want"
}

# roster_size prints the number of entries on the roster.
roster_size() {
  "$FLEET_BIN/pomelosill" query --json entries | jq '.rows | length'
}

# ended_tasks DOMAIN prints the number of tasks that have ended on the endpoints of a
# failure domain.
ended_tasks() {
  "$FLEET_BIN/pomelosill" query --json "endpoints where domain = \"$1\"" |
    jq '(.columns | index("done")) as $i | [.rows[][$i]] | add'
}

trap finish EXIT

step "Start the stand-ins, 3 entries and 11 agents ($ip)"
fleet_start "$dir" umbral "$number"
fleet_wait "$dir"
for ((tries = 0; $(roster_size) < FLEET_ENTRIES; tries++)); do
  ((tries < 50)) || fail "an entry is not on the roster after 10 s"
  sleep 0.2
done
run query entries
run query endpoints

step "Set the quotas of two teams"
run query set team alerts weight 3 max_queued 5000
run query set team radio weight 1 max_running 40
run query teams

step "Submit jobs and list them while they run"
run submit --team alerts --tasks 100 --run-ms 700 >"$dir/job-1.out" 2>&1 &
first=$!
run submit --team radio --tasks 60 --run-ms 500 >"$dir/job-2.out" 2>&1 &
second=$!
sleep 0.4
run query jobs sort tasks desc
run query domains
wait $first && wait $second || fail "a job failed: $(cat "$dir"/job-*.out)"
cat "$dir/job-1.out" "$dir/job-2.out"

step "Submit a job of an unknown team: exit status 1 means that nothing ran"
expect 1 submit --team nobody --tasks 2

step "Take Comas out; no task starts there any more"
run query --dry-run take domain Comas out
run query --wait 4s take domain Comas out
before=$(ended_tasks Comas)
run submit --team alerts --tasks 120 --run-ms 100
run query domains
after=$(ended_tasks Comas)
((before == after)) || fail "$((after - before)) tasks ran in Comas while it was out"

step "Return Comas; tasks start there again"
run query --wait 4s return domain Comas
run submit --team alerts --tasks 120 --run-ms 100
run query "endpoints where domain = Comas"
(($(ended_tasks Comas) > after)) || fail "no task ran in Comas after its return"

step "Resubmit an id through other entries: one job, one answer"
id=$("$FLEET_BIN/pomelosill" submit --entry "$ip:23001" --team alerts --tasks 10 --run-ms 400 --json | tee "$dir/answer-1" | jq -r .id)
run submit --entry "$ip:23002" --team alerts --tasks 10 --run-ms 400 --id "$id" --json >"$dir/resubmitted"
tail -n +2 "$dir/resubmitted" >"$dir/answer-2"
head -1 "$dir/resubmitted"
cmp "$dir/answer-1" "$dir/answer-2" || fail "the two answers differ"
echo "the answers are identical, byte for byte"
run job --entry "$ip:23003" "$id"
echo "the same id with other tasks is refused:"
expect 3 submit --team alerts --tasks 11 --run-ms 400 --id "$id"

step "A command that is based on an old revision is refused"
run query entries
expect 1 query take domain Comas out if revision 1

step "List the changes and who made them"
run query changes
