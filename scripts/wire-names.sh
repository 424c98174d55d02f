#!/bin/sh
# Fails when Go code outside platform/, apart from tests and generated code, contains a wire name of the
# users' platform.
set -eu
cd "$(dirname "$0")/.."
names='kv-txn|kv-watch|kv-range|kv-fetch|kv-save|kv-events|Balsamyoke-[A-Z]|balsamyoke/(report|order|ready)|fencing_token|op/config'
found=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^platform/' | grep -v '_test\.go$' | grep -v '\.pb\.go$' \
  | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
  echo "wire names of the users' platform outside platform/:"
  echo "$found"
  exit 1
fi
