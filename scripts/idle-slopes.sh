#!/bin/sh
# Measures what processes cost without load, at several numbers of replicas: control bytes a second,
# processor time and resident memory for entries and agents. Prints one line a size and role.
#   scripts/idle-slopes.sh [SECONDS] [REPLICAS...]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-20}
[ $# -gt 0 ] && shift
sizes=${*:-8 24 72}
warm_up=15
clock_ticks=$(getconf CLK_TCK)

# sample prints "role control_bytes cpu_ticks rss_kb" for each entry and agent.
sample() {
  for settings in run/*.json; do
    metrics=$(sed -n 's/.*"metrics": "\([^"]*\)".*/\1/p' "$settings")
    [ -n "$metrics" ] || continue
    role=agent
    case $settings in run/entry-*) role=entry ;; esac
    bytes=$(curl -s "http://$metrics/dump" | awk -F'[:,]' '/"(sent|received)_bytes"/ {sum += $2} END {print sum + 0}')
    pid=$(pgrep -f -- "--settings $settings" | head -1)
    cpu=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
    echo "$role $settings $bytes $cpu $rss"
  done
}

echo "role replicas processes control_bytes_per_second cpu_percent_of_core rss_mib"
for replicas in $sizes; do
  MODEL_REPLICAS_OVERRIDE=$replicas sh scripts/run-local.sh start example >/dev/null
  sleep "$warm_up"
  sample >run/before.txt
  sleep "$seconds"
  sample >run/after.txt
  paste -d' ' run/before.txt run/after.txt | awk -v n="$replicas" -v s="$seconds" -v hz="$clock_ticks" '
    {role = $1; count[role]++; bytes[role] += $8 - $3; cpu[role] += $9 - $4; rss[role] += $10}
    END {for (role in count) printf "%s %d %d %.0f %.3f %.1f\n", role, n, count[role],
      bytes[role] / count[role] / s, 100 * cpu[role] / hz / count[role] / s, rss[role] / count[role] / 1024}'
  sh scripts/run-local.sh stop
  sleep 1
done
