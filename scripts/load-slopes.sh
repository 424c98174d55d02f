#!/bin/sh
# Measures the control bytes and CPU time per request of entries and agents, as real processes at
# several rates of Ridgeline's request mix. Prints one line per rate and role, then the slope of a
# linear fit (the amount per request) with its standard error.
#   scripts/load-slopes.sh [SECONDS] [RATES...]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-20}
[ $# -gt 0 ] && shift
rates=${*:-0 10 20 40}
. scripts/sample.sh

sh scripts/run-local.sh start ridgeline >run-local.out
entries=$(sed -n 's/.*entries: //p' run-local.out)
rm -f run-local.out
trap 'sh scripts/run-local.sh stop' EXIT
bin/balsam-load --manifest --profile ridgeline >run/load-manifest.json
bin/balsamctl apply --kv 127.0.0.1:19000 run/load-manifest.json
sleep 10
flags=''
for entry in $entries; do flags="$flags --entry $entry"; done
: >run/slopes.txt
echo "role rate/s control_bytes/s cpu_ms/s rss_mib"
for rate in $rates; do
  sample_all >run/before.txt
  if [ "$rate" = 0 ]; then
    sleep "$seconds"
  else
    bin/balsam-load $flags --profile ridgeline --rate "$rate" --seconds "$seconds" --warm-up-seconds 0 --seed 1 >run/load-$rate.out 2>&1 || true
  fi
  sample_all >run/after.txt
  paste -d' ' run/before.txt run/after.txt | awk -v rate="$rate" -v s="$seconds" -v hz="$clock_ticks" '
    {role = $1; bytes[role] += $8 - $3; cpu[role] += $9 - $4; rss[role] += $10; count[role]++}
    END {for (role in count) printf "%s %d %.0f %.1f %.1f\n", role, rate, bytes[role] / s, 1000 * cpu[role] / hz / s, rss[role] / count[role] / 1024}' |
    tee -a run/slopes.txt
done
echo "linear fit over all processes of a role together, per request:"
awk '{n[$1]++; x[$1] += $2; xx[$1] += $2 * $2; for (c = 3; c <= 4; c++) {y[$1, c] += $c; xy[$1, c] += $2 * $c; yy[$1, c] += $c * $c}}
  END {for (role in n) for (c = 3; c <= 4; c++) {
    k = n[role]; sxx = xx[role] - x[role] ^ 2 / k; sxy = xy[role, c] - x[role] * y[role, c] / k
    syy = yy[role, c] - y[role, c] ^ 2 / k; slope = sxy / sxx; residual = syy - slope * sxy
    error = k > 2 ? sqrt((residual > 0 ? residual : 0) / (k - 2) / sxx) : 0
    printf "  %s %s %.2f +- %.2f, without load %.1f per second\n", role, c == 3 ? "control bytes" : "cpu ms", slope, error, (y[role, c] - slope * x[role]) / k}}' run/slopes.txt
