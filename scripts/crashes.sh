#!/usr/bin/env bash
# Counts the crashes of endpoints under each task, from the logs of all runners,
# and prints the tasks with three or more. It exits with 1 if a task crashed more
# than five: more than two starts followed its third crash.
#
#   scripts/crashes.sh LOG...
#
# A log holds JSON lines, which may have a prefix such as a time and a host.
set -euo pipefail

cat -- "$@" | grep -F '"run: lost in a crash of the endpoint"' |
  sed -n 's/.*"task":"\([^"]*\)".*"life":"\([^"]*\)".*/\1 \2/p' | sort -u |
  awk '
    { crashes[$1]++; if (!($2 in seen)) { seen[$2] = 1; endpoints++ } }
    END {
      for (task in crashes) {
        tasks[crashes[task]]++
        if (crashes[task] > most) most = crashes[task]
        if (crashes[task] >= 3) print crashes[task], task
      }
      for (n = 1; n <= most; n++) printf "%d tasks lost %d runs in crashes\n", tasks[n], n
      printf "%d endpoints crashed with runs\n", endpoints
      exit most > 5
    }'
