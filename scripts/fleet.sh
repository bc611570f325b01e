#!/usr/bin/env bash
# Functions that run a fleet of real processes on loopback, for benchmarks and the
# demo. This file is to be sourced; it only defines functions and variables.
#
#   fleet_start DIR SIZE NUMBER  write settings to DIR and start every process
#   fleet_wait DIR               wait until every process is ready, or fail
#   fleet_pid DIR NAME           print the pid of one process
#   fleet_names DIR              print the names of all processes
#   fleet_kill DIR NAME SIGNAL   send a signal to one process
#   fleet_owner DIR              print the name of the entry that owns the cell
#   fleet_teams DIR TEAM...      create each team with an unlimited quota
#   fleet_stop DIR               send SIGTERM to all, SIGKILL after FLEET_STOP_SECONDS
#
# SIZE is umbral or ayoola, or endpoints for the stand-in endpoints alone.
# NUMBER (1 to 250) selects the loopback address of the fleet, 127.0.NUMBER.1, so
# that fleets can run side by side. DIR holds fleet.json, the settings of
# pomelosill-load, and NAME.jsonc, NAME.log and NAME.pid for each process. The
# names are platform, endpoints, entry-1 ... and agent-1 ....
#
# Besides the programs, curl and jq are required. The fleet can be changed by the
# variables FLEET_ENTRIES, FLEET_AGENTS, FLEET_SLOTS, FLEET_BIN (folder of the
# programs), FLEET_READY_SECONDS and FLEET_STOP_SECONDS.

FLEET_ENTRIES=${FLEET_ENTRIES:-3}
FLEET_AGENTS=${FLEET_AGENTS:-11}
FLEET_SLOTS=${FLEET_SLOTS:-8}
FLEET_BIN=${FLEET_BIN:-bin}
FLEET_READY_SECONDS=${FLEET_READY_SECONDS:-30}
FLEET_STOP_SECONDS=${FLEET_STOP_SECONDS:-15}

# Ports on the address of a fleet. To all but the first, the number of the process
# is added.
FLEET_PLATFORM_PORT=21000
FLEET_ENDPOINT_PORT=22000
FLEET_CALLER_PORT=23000
FLEET_ADMIN_PORT=24000
FLEET_PEER_PORT=25000
FLEET_AGENT_PORT=26000

# fleet_domains SIZE prints the failure domains, one per line.
fleet_domains() {
  case $1 in
    umbral) printf '%s\n' "Comas" "Carabayllo" "Independencia" "Los Olivos" ;;
    ayoola | endpoints) printf '%s\n' "Ikeja" "Lekki" "Yaba" "Surulere" ;;
    *) echo "fleet: unknown size $1" >&2; return 1 ;;
  esac
}

# fleet_domain SIZE INDEX prints the failure domain of the process with the given
# index. Processes are assigned to the domains in turn.
fleet_domain() {
  local domains
  mapfile -t domains < <(fleet_domains "$1")
  echo "${domains[$((($2 - 1) % ${#domains[@]}))]}"
}

# fleet_launch DIR NAME COMMAND... starts one process and writes its pid to DIR.
fleet_launch() {
  local dir=$1 name=$2
  shift 2
  "$@" >"$dir/$name.log" 2>&1 &
  echo $! >"$dir/$name.pid"
}

# fleet_join joins the lines of standard input with commas.
fleet_join() {
  paste -sd, -
}

# fleet_urls IP PORT COUNT prints a JSON list of URLs with the ports PORT+1 to
# PORT+COUNT.
fleet_urls() {
  local i
  echo "[$(for ((i = 1; i <= $3; i++)); do echo "\"http://$1:$(($2 + i))\""; done | fleet_join)]"
}

# fleet_endpoints_file IP prints the settings of the stand-in endpoints.
fleet_endpoints_file() {
  local i
  echo "[$(for ((i = 1; i <= FLEET_AGENTS; i++)); do
    echo "{\"name\":\"endpoint-$i\",\"listen\":\"$1:$((FLEET_ENDPOINT_PORT + i))\",\"slots\":$FLEET_SLOTS}"
  done | fleet_join)]"
}

# fleet_load_file IP SIZE ENTRIES prints the settings of pomelosill-load.
fleet_load_file() {
  local i endpoints
  endpoints=$(for ((i = 1; i <= FLEET_AGENTS; i++)); do
    echo "{\"name\":\"endpoint-$i\",\"domain\":\"$(fleet_domain "$2" "$i")\",\"url\":\"http://$1:$((FLEET_ENDPOINT_PORT + i))\"}"
  done | fleet_join)
  cat <<JSON
{
  "entries": $(fleet_urls "$1" $FLEET_CALLER_PORT "$3"),
  "debug": $(fleet_urls "$1" $FLEET_ADMIN_PORT "$3"),
  "admin": $(fleet_urls "$1" $FLEET_ADMIN_PORT "$3"),
  "endpoints": [$endpoints],
  "platform": "http://$1:$FLEET_PLATFORM_PORT",
  "slots": $FLEET_SLOTS,
  "caller_token": "",
  "operator_token": ""
}
JSON
}

# fleet_entry_file IP SIZE INDEX prints the settings of one entry.
fleet_entry_file() {
  cat <<JSON
{
  "listen": "$1:$((FLEET_CALLER_PORT + $3))",
  "peer": "$1:$((FLEET_PEER_PORT + $3))",
  "admin": "$1:$((FLEET_ADMIN_PORT + $3))",
  "failure_domain": "$(fleet_domain "$2" "$3")",
  "store": "http://$1:$FLEET_PLATFORM_PORT",
  "failure_domains": [$(fleet_domains "$2" | sed 's/.*/"&"/' | fleet_join)]
}
JSON
}

# fleet_peers IP prints the addresses of the entries for agents as a JSON list.
fleet_peers() {
  fleet_urls "$1" "$FLEET_PEER_PORT" "$FLEET_ENTRIES" | sed 's,http://,,g'
}

# fleet_agent_file IP SIZE INDEX prints the settings of one agent.
fleet_agent_file() {
  cat <<JSON
{
  "endpoint": "endpoint-$3",
  "failure_domain": "$(fleet_domain "$2" "$3")",
  "slots": $FLEET_SLOTS,
  "connections": $((FLEET_SLOTS > 60 ? FLEET_SLOTS : 60)),
  "endpoint_url": "http://$1:$((FLEET_ENDPOINT_PORT + $3))",
  "listen": "$1:$((FLEET_AGENT_PORT + $3))",
  "entries": $(fleet_peers "$1")
}
JSON
}

fleet_start() {
  local dir=$1 size=$2 ip="127.0.$3.1" i entries=$FLEET_ENTRIES
  mkdir -p "$dir"
  [[ $size == endpoints ]] && entries=0
  fleet_load_file "$ip" "$size" "$entries" >"$dir/fleet.json" || return 1
  fleet_endpoints_file "$ip" >"$dir/endpoints.json"
  fleet_launch "$dir" endpoints "$FLEET_BIN/pomelosill-standin" endpoints --file "$dir/endpoints.json"
  [[ $size == endpoints ]] && return 0
  fleet_launch "$dir" platform "$FLEET_BIN/pomelosill-standin" platform --listen "$ip:$FLEET_PLATFORM_PORT"
  for ((i = 1; i <= FLEET_ENTRIES; i++)); do
    fleet_entry_file "$ip" "$size" "$i" >"$dir/entry-$i.jsonc"
    fleet_launch "$dir" "entry-$i" "$FLEET_BIN/pomelosill-entry" --settings "$dir/entry-$i.jsonc"
  done
  for ((i = 1; i <= FLEET_AGENTS; i++)); do
    fleet_agent_file "$ip" "$size" "$i" >"$dir/agent-$i.jsonc"
    fleet_launch "$dir" "agent-$i" "$FLEET_BIN/pomelosill-agent" --settings "$dir/agent-$i.jsonc"
  done
}

fleet_pid() {
  cat "$1/$2.pid"
}

fleet_names() {
  local file
  for file in "$1"/*.pid; do
    basename "$file" .pid
  done
}

fleet_kill() {
  kill -s "$3" "$(fleet_pid "$1" "$2")"
}

# fleet_query DIR STATEMENT sends a statement and prints the reply of the first
# entry that answers.
fleet_query() {
  local url body
  body=$(jq -cn --arg text "$2" '{text: $text, wait_ms: 4000}')
  for url in $(jq -r '.admin[]' "$1/fleet.json"); do
    curl -sf --max-time 6 -d "$body" "$url/v1/query" 2>/dev/null && return 0
  done
  return 1
}

# fleet_in_service_count DIR prints the number of endpoints that are in service.
fleet_in_service_count() {
  fleet_query "$1" 'endpoints where state = in_service' | jq '.rows // [] | length'
}

fleet_owner() {
  local address
  address=$(fleet_query "$1" 'entries where cells > 0' |
    jq -r '(.columns | index("address")) as $i | .rows[0][$i]')
  echo "entry-$((${address##*:} - FLEET_PEER_PORT))"
}

# The code 303 (CommandUnconfirmed) is accepted, since the team has then been created,
# although it is not confirmed that every process knows it.
fleet_teams() {
  local dir=$1 team
  shift
  for team in "$@"; do
    fleet_query "$dir" "set team $team weight 1" | jq -e '.code == 0 or .code == 303' >/dev/null || return 1
  done
}

# fleet_ready DIR succeeds if the stand-in endpoints answer and, in a fleet with
# entries, every endpoint is in service.
fleet_ready() {
  curl -sf --max-time 2 "$(jq -r '.endpoints[0].url' "$1/fleet.json")/faults" >/dev/null || return 1
  [[ $(jq '.entries | length' "$1/fleet.json") -eq 0 ]] && return 0
  [[ $(fleet_in_service_count "$1") -ge $(jq '.endpoints | length' "$1/fleet.json") ]]
}

fleet_wait() {
  local deadline=$((SECONDS + FLEET_READY_SECONDS))
  until fleet_ready "$1"; do
    if ((SECONDS >= deadline)); then
      echo "fleet: $1 is not ready after $FLEET_READY_SECONDS s" >&2
      return 1
    fi
    sleep 0.2
  done
}

# fleet_any_running DIR succeeds if any process of the fleet is still running.
fleet_any_running() {
  local name
  for name in $(fleet_names "$1"); do
    kill -0 "$(fleet_pid "$1" "$name")" 2>/dev/null && return 0
  done
  return 1
}

# fleet_signal_all DIR SIGNAL sends a signal to every process that is still running.
fleet_signal_all() {
  local name
  for name in $(fleet_names "$1"); do
    kill -s "$2" "$(fleet_pid "$1" "$name")" 2>/dev/null || true
  done
}

fleet_stop() {
  local deadline=$((SECONDS + FLEET_STOP_SECONDS))
  fleet_signal_all "$1" TERM
  while fleet_any_running "$1" && ((SECONDS < deadline)); do
    sleep 0.1
  done
  fleet_signal_all "$1" KILL
  rm -f "$1"/*.pid
}
