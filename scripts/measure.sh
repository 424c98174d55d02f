#!/bin/sh
# Runs the measurements of docs/MEASUREMENTS.md on the local host: fleets of processes on loopback, one
# fleet at a time. The arguments select profile, policies, rows and seeds:
#   scripts/measure.sh --profile ridgeline --policy cost --policy random --seed 1 --out figures.jsonl
#   scripts/measure.sh --table --out figures.jsonl --chart docs/measurements.svg
set -eu
cd "$(dirname "$0")/.."
exec go run ./scripts/measure "$@"
