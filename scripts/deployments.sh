#!/usr/bin/env bash
# Scores the platform's deployments with the users' bench and prints one table.
# It exits with 1 if a gate fails, and with 2 if the users' kit isn't there.
#
#   scripts/deployments.sh [--quick] [SITE...]
#
# KIT is the folder of the kit's pages, JOBS the number of days played at once
# (two large days need some 8 GB), WHY the line for the journal.
set -euo pipefail
cd "$(dirname "$0")/.."

kit=${KIT:-../given/kit/more/system}
bench=$kit/bin/fleetbench
if [ ! -x "$bench" ]; then
  echo "the users' kit is not at $kit" >&2
  exit 2
fi

quick=()
if [ "${1:-}" = --quick ]; then
  quick=(--quick)
  shift
fi
sites=("$@")
if [ ${#sites[@]} -eq 0 ]; then
  sites=("$kit"/{sites,grown,demands,large}/*.toml)
fi

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
status=0
printf '%-28s %-12s %-7s %s\n' deployment gate score 'worth by day'
for site in "${sites[@]}"; do
  name=$(basename "$site" .toml)
  "$bench" score "$site" "${quick[@]}" --jobs "${JOBS:-2}" --why "${WHY:-regression run}" > "$out/$name" 2>&1 || true
  gate=$(grep -o 'GATE [a-z]*' "$out/$name" | tail -1 || true)
  score=$(sed -n 's/.*standard days of [^:]*: \([0-9.]*\).*/\1/p' "$out/$name" | tail -1)
  days=$(awk '$2 ~ /^[0-9]+\/[0-9]+$/ { printf "%s %s  ", $1, $4 }' "$out/$name")
  printf '%-28s %-12s %-7s %s\n' "$name" "${gate:-not played}" "${score:--}" "$days"
  if [ "$gate" != 'GATE passed' ]; then
    status=1
    cat "$out/$name" >&2
  fi
done
exit $status
