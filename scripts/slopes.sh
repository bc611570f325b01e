#!/usr/bin/env bash
# Measures two things:
#   - starts per second and CPU time per task on one entry, with 1 and with 11
#     agents, tasks with a run time of zero, and 64 slots per endpoint;
#   - CPU time, memory, and bytes on TCP connections of each process, idle and
#     under load, for several fleet sizes.
# Prints one JSON line per fleet size, state and role, with the mean of the role's
# processes, to standard output, and the increase per agent to standard error.
# Usage: scripts/slopes.sh [OUTPUT_FOLDER]
#
# Variables:
#   SLOPE_AGENTS       fleet sizes, as numbers of agents
#   SLOPE_SECONDS      duration of each measurement
#   SLOPE_LOAD         offered work as a fraction of the slots, in measurements
#                      under load
#   SLOPE_FIRST_FLEET  number before that of the first fleet, see scripts/fleet.sh
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

SLOPE_AGENTS=${SLOPE_AGENTS:-"11 50 150"}
SLOPE_SECONDS=${SLOPE_SECONDS:-20}
SLOPE_LOAD=${SLOPE_LOAD:-0.5}
FIRST_FLEET=${SLOPE_FIRST_FLEET:-60}
OUTPUT_FOLDER=${1:-$(mktemp -d)}
mkdir -p "$OUTPUT_FOLDER"

# cpu_ms PID prints the CPU time used so far in milliseconds. It adds up the exact
# run times of the threads. The times in /proc/PID/stat are sampled at clock ticks,
# which overestimates processes that wake up for timers.
cpu_ms() {
  cat /proc/"$1"/task/*/schedstat | awk '{ sum += $1 } END { print sum / 1e6 }'
}

# rss_kb PID prints the resident memory in KiB.
rss_kb() {
  awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# tcp_bytes FILE writes a line "pid bytes" to FILE for every TCP connection.
tcp_bytes() {
  ss -tinpOH | awk '{
    if (!match($0, /pid=[0-9]+/)) next
    pid = substr($0, RSTART + 4, RLENGTH - 4)
    sent = match($0, /bytes_sent:[0-9]+/) ? substr($0, RSTART + 11, RLENGTH - 11) : 0
    got = match($0, /bytes_received:[0-9]+/) ? substr($0, RSTART + 15, RLENGTH - 15) : 0
    print pid, sent + got }' >"$1"
}

# sample DIR FILE writes a line "name cpu_ms rss_kb bytes" to FILE for every process
# of the fleet.
sample() {
  local name pid
  tcp_bytes "$2.tcp"
  for name in $(fleet_names "$1"); do
    pid=$(fleet_pid "$1" "$name")
    echo "$name $(cpu_ms "$pid") $(rss_kb "$pid") $(awk -v p="$pid" '$1 == p { n += $2 } END { print n + 0 }' "$2.tcp")"
  done >"$2"
}

# print_resource_usage AGENTS STATE SECONDS BEFORE AFTER prints a JSON line per role
# with the resource usage between two samples.
print_resource_usage() {
  awk -v agents="$1" -v state="$2" -v seconds="$3" '
    NR == FNR { cpu[$1] = $2; bytes[$1] = $4; next }
    { role = $1; sub(/-[0-9]+$/, "", role)
      n[role]++; c[role] += $2 - cpu[$1]; m[role] += $3; b[role] += $4 - bytes[$1]
      if ($2 - cpu[$1] > top[role]) top[role] = $2 - cpu[$1] }
    END { for (r in n) printf "{\"agents\":%d,\"state\":\"%s\",\"role\":\"%s\",\"processes\":%d,\"cpu_ms_per_s\":%.3f,\"cpu_ms_per_s_highest\":%.3f,\"rss_mb\":%.1f,\"bytes_per_s\":%.0f}\n",
      agents, state, r, n[r], c[r] / n[r] / seconds, top[r] / seconds, m[r] / n[r] / 1024, b[r] / n[r] / seconds }
  ' "$4" "$5"
}

# measure_idle AGENTS DIR prints a JSON line per role with the resource usage
# without load.
measure_idle() {
  sample "$2" "$2/idle-before"
  sleep "$SLOPE_SECONDS"
  sample "$2" "$2/idle-after"
  print_resource_usage "$1" idle "$SLOPE_SECONDS" "$2/idle-before" "$2/idle-after"
}

# measure_loaded AGENTS DIR prints a JSON line per role with the resource usage
# under load.
measure_loaded() {
  local started_at=$SECONDS
  sample "$2" "$2/loaded-before"
  "$FLEET_BIN/pomelosill-load" run --fleet "$2/fleet.json" --size umbral --load "$SLOPE_LOAD" \
    --length "${SLOPE_SECONDS}s" >"$2/line.json" 2>"$2/load.log"
  sample "$2" "$2/loaded-after"
  print_resource_usage "$1" loaded $((SECONDS - started_at)) "$2/loaded-before" "$2/loaded-after"
}

# measure_throughput AGENTS DIR prints a JSON line per role with the CPU time per
# started task, summed over the processes of the role.
measure_throughput() {
  sample "$2" "$2/before"
  "$FLEET_BIN/pomelosill-load" run --fleet "$2/fleet.json" --size umbral --scenario throughput \
    --length "${SLOPE_SECONDS}s" >"$2/line.json" 2>"$2/load.log"
  sample "$2" "$2/after"
  print_resource_usage "$1" throughput 1 "$2/before" "$2/after" | jq -c --slurpfile line "$2/line.json" '
    $line[0] as $l | ($l.starts_per_s * $l.seconds) as $started
    | {agents, state, role, processes, starts_per_s: $l.starts_per_s, rss_mb,
       cpu_us_per_task: (.cpu_ms_per_s * .processes * 1000 / $started),
       bytes_per_task: (.bytes_per_s * .processes / $started),
       ok: $l.ok, jobs: $l.jobs, double_starts: $l.double_starts}'
}

# print_slopes prints, for every state, role and field, the line fitted to the fleet
# sizes by least squares.
print_slopes() {
  jq -rs 'group_by([.state, .role])[] | {state: .[0].state, role: .[0].role, rows: .}
    | . as $g | ("cpu_ms_per_s", "rss_mb", "bytes_per_s") as $f
    | ($g.rows | map({x: .agents, y: .[$f]})) as $p | ($p | length) as $n
    | ([$p[].x] | add / $n) as $mx | ([$p[].y] | add / $n) as $my
    | ([$p[] | (.x - $mx) * (.y - $my)] | add) as $sxy
    | ([$p[] | (.x - $mx) * (.x - $mx)] | add) as $sxx
    | select($sxx > 0)
    | "\($g.state) \($g.role) \($f): \($my - $sxy / $sxx * $mx) + \($sxy / $sxx) per agent"'
}

NUMBER=$FIRST_FLEET

# with_fleet DIR AGENTS FUNCTION... starts a new fleet and runs the functions on it.
with_fleet() {
  local dir=$1 agents=$2 function
  shift 2
  NUMBER=$((NUMBER + 1))
  FLEET_AGENTS=$agents fleet_start "$dir" umbral "$NUMBER"
  if fleet_wait "$dir"; then
    fleet_teams "$dir" alerts masterings
    for function in "$@"; do
      "$function" "$agents" "$dir"
    done
  fi
  fleet_stop "$dir"
}

# measure_throughputs measures the throughput of one entry with 1 and with 11
# agents.
measure_throughputs() {
  local agents
  for agents in 1 11; do
    FLEET_ENTRIES=1 FLEET_SLOTS=64 with_fleet "$OUTPUT_FOLDER/throughput-$agents" "$agents" measure_throughput
  done
}

# measure_sizes measures the resource usage at every fleet size.
measure_sizes() {
  local agents
  for agents in $SLOPE_AGENTS; do
    with_fleet "$OUTPUT_FOLDER/$agents" "$agents" measure_idle measure_loaded
  done
}

measure_throughputs
measure_sizes | tee "$OUTPUT_FOLDER/slopes.jsonl"
print_slopes <"$OUTPUT_FOLDER/slopes.jsonl" >&2
