#!/bin/sh
# Measures the resource use of entries and agents without load, at several numbers of replicas: control
# bytes per second, CPU time and resident memory. Prints one line per number of replicas and role.
#   scripts/idle-slopes.sh [SECONDS] [REPLICAS...]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-20}
[ $# -gt 0 ] && shift
sizes=${*:-8 24 72}
warm_up=15
. scripts/sample.sh

echo "role replicas processes control_bytes_per_second cpu_percent_of_core rss_mib"
for replicas in $sizes; do
  MODEL_REPLICAS_OVERRIDE=$replicas sh scripts/run-local.sh start example >/dev/null
  sleep "$warm_up"
  sample_all >run/before.txt
  sleep "$seconds"
  sample_all >run/after.txt
  paste -d' ' run/before.txt run/after.txt | awk -v n="$replicas" -v s="$seconds" -v hz="$clock_ticks" '
    {role = $1; count[role]++; bytes[role] += $8 - $3; cpu[role] += $9 - $4; rss[role] += $10}
    END {for (role in count) printf "%s %d %d %.0f %.3f %.1f\n", role, n, count[role],
      bytes[role] / count[role] / s, 100 * cpu[role] / hz / count[role] / s, rss[role] / count[role] / 1024}'
  sh scripts/run-local.sh stop
  sleep 1
done
