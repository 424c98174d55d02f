#!/bin/sh
# Plays a case: play.sh CASE FOLDER. The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
export CASE="$1" FOLDER="$scratch" RECORD="$2/record.txt" GATEWAY="$root/target/balsam-gateway" TROUBLE="${TROUBLE:-1}"
timeout -k 2 115 "$root/target/review/harness"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
