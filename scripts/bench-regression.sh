#!/bin/sh
# Plays the regression runs on the users' bench: the standard days of each deployment, then a hunt for broken rules.
# usage: bench-regression.sh FLEETBENCH SITES [JOBS]
#   FLEETBENCH is the bench program, SITES the folder that holds the deployments' folders, JOBS the cores to use (3).
# Ends with 1 if a gate failed or a hunt found a broken rule. The two smallest deployments, ridgeline-lakes and
# nyiraflue-quotes, are no longer part of it: Ding's and the large one took their place.
set -eu
bench=${1:?path of fleetbench}
sites=${2:?folder of the deployments}
jobs=${3:-3}
failed=0
# Each row: the site file, and the days to hunt: 40, or 8 on deployments of 60 machines or more.
while read -r site days; do
  log=$(mktemp)
  "$bench" score "$sites/$site" --jobs "$jobs" --why "regression" | tee "$log"
  grep -q '^GATE passed' "$log" || failed=1
  "$bench" hunt "$sites/$site" --days "$days" --jobs "$jobs" --why "regression" | tee "$log"
  ! grep -q 'BROKEN' "$log" || failed=1
  rm -f "$log"
done <<ROWS
further/vejsding.toml 40
further-grown/vejsding-grown.toml 8
large/ridgeline-lakes-large.toml 8
grown/ridgeline-lakes-grown.toml 8
grown/nyiraflue-quotes-grown.toml 8
ROWS
exit $failed
