#!/usr/bin/env bash
# Runs every load scenario at the fleet sizes of both users, against real
# processes on loopback. Prints one JSON line per scenario to standard output and
# a table to standard error. The exit status is not zero if a line is missing, a
# task started twice, an answer was partial or meant for another job, or a task
# that had started was reported as not run.
# Usage: scripts/bench.sh [OUTPUT_FOLDER]
#
# Variables:
#   BENCH_SECONDS      time over which a scenario submits jobs; scenarios that
#                      compare two runs, and overload, use half of it
#   BENCH_SEED         first seed
#   BENCH_SCENARIOS    names of the scenarios to run (default: all)
#   BENCH_FIRST_FLEET  number before that of the first fleet, see scripts/fleet.sh
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

BENCH_SECONDS=${BENCH_SECONDS:-80}
BENCH_SEED=${BENCH_SEED:-1}
BENCH_SCENARIOS=${BENCH_SCENARIOS:-}
OUTPUT_FOLDER=${1:-$(mktemp -d)}
FIRST_FLEET=${BENCH_FIRST_FLEET:-100}
SCENARIO_COUNT=0

# PAUSE_SECONDS is longer than the lease and than the freshness limit, so that
# another entry takes over the cell during the pause.
PAUSE_SECONDS=8

# disturb_owner DIR SCENARIO kills or pauses the owner of the cell after a third of
# the run.
disturb_owner() {
  until grep -q 'trace started' "$1/load.log" 2>/dev/null; do
    sleep 0.1
  done
  sleep $((BENCH_SECONDS / 3))
  local owner
  owner=$(fleet_owner "$1")
  echo "bench: $2: disturbing $owner of the fleet in $1" >&2
  if [[ $2 == owner-killed ]]; then
    fleet_kill "$1" "$owner" KILL
    return
  fi
  fleet_kill "$1" "$owner" STOP
  sleep "$PAUSE_SECONDS"
  fleet_kill "$1" "$owner" CONT
}

# run_scenario DIR NUMBER SIZE SEED SCENARIO POLICY LOAD SECONDS runs a scenario
# on a new fleet. Baseline policies need only the stand-in endpoints.
run_scenario() {
  local dir=$1 fleet_size=$3
  [[ $6 == product ]] || fleet_size=endpoints
  mkdir -p "$dir"
  fleet_start "$dir" "$fleet_size" "$2"
  if fleet_wait "$dir"; then
    [[ $fleet_size == endpoints ]] || fleet_teams "$dir" alerts masterings
    [[ $5 == owner-* ]] && disturb_owner "$dir" "$5" &
    "$FLEET_BIN/pomelosill-load" run --fleet "$dir/fleet.json" --size "$3" --seed "$4" \
      --scenario "$5" --policy "$6" --load "$7" --length "$8s" >"$dir/line.json" 2>"$dir/load.log" ||
      echo "bench: $5 $6 at $3 failed; see $dir/load.log" >&2
  fi
  fleet_stop "$dir"
}

# start_scenario SIZE SEED SCENARIO POLICY LOAD SECONDS starts a scenario in the
# background, on its own fleet, if it is among BENCH_SCENARIOS.
start_scenario() {
  [[ -z $BENCH_SCENARIOS || " $BENCH_SCENARIOS " == *" $3 "* ]] || return 0
  SCENARIO_COUNT=$((SCENARIO_COUNT + 1))
  local dir
  dir=$OUTPUT_FOLDER/$(printf %02d "$SCENARIO_COUNT")-$1-$3-$4-$5
  run_scenario "$dir" $((FIRST_FLEET + SCENARIO_COUNT)) "$@" &
}

# start_steady_scenarios SIZE SEED starts the steady scenario with three loads
# under every policy.
start_steady_scenarios() {
  local load policy
  for load in 0.5 0.8 0.95; do
    for policy in product fcfs two-choices; do
      start_scenario "$1" "$2" steady "$policy" "$load" "$BENCH_SECONDS"
    done
  done
}

# start_fault_scenarios SIZE SEED starts the scenarios with faults, bursts and
# overload.
start_fault_scenarios() {
  local name
  for name in domain owner-killed owner-paused failing-endpoint; do
    start_scenario "$1" "$2" "$name" product 0.7 "$BENCH_SECONDS"
  done
  start_scenario "$1" "$2" overload product 2 $((BENCH_SECONDS / 2))
  start_scenario "$1" "$2" head-of-line-small product 0.3 $((BENCH_SECONDS / 2))
  for name in head-of-line straggler straggler-small cancel-wave; do
    start_scenario "$1" "$2" "$name" product 0.5 $((BENCH_SECONDS / 2))
  done
}

# both_sizes FUNCTION calls a function with the size and the seed of each fleet
# size, and waits until all scenarios have ended.
both_sizes() {
  "$1" umbral "$BENCH_SEED"
  "$1" ayoola $((BENCH_SEED + 1))
  wait
}

STARTED_AT=$SECONDS
both_sizes start_steady_scenarios
both_sizes start_fault_scenarios
LINE_FILES=("$OUTPUT_FOLDER"/*/line.json)
cat "${LINE_FILES[@]}"
cat "${LINE_FILES[@]}" | "$FLEET_BIN/pomelosill-load" table >&2
echo "bench: $(cat "${LINE_FILES[@]}" | wc -l) of $SCENARIO_COUNT lines in $((SECONDS - STARTED_AT)) s, output is in $OUTPUT_FOLDER" >&2

# The exit status is zero only if every line is present and no guarantee was
# violated.
[[ $(cat "${LINE_FILES[@]}" | wc -l) -eq $SCENARIO_COUNT ]]
jq -se 'map(.double_starts + .partial_answers + .foreign_answers + .false_not_run) | add == 0' \
  "${LINE_FILES[@]}" >/dev/null
