#!/bin/sh
# Runs the measurements of docs/MEASUREMENTS.md on this machine: fleets of processes on loopback, one
# at a time. Arguments choose profile, policies, rows and seeds:
#   scripts/measure.sh --profile ridgeline --policy cost --policy random --seed 1 --out figures.jsonl
#   scripts/measure.sh --table --out figures.jsonl --chart docs/measurements.svg
set -eu
cd "$(dirname "$0")/.."
exec go run ./scripts/measure "$@"
