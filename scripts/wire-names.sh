#!/bin/sh
# Fails when a name of the users' platform stands in code outside platform/.
set -eu
cd "$(dirname "$0")/.."
names='kv-txn|kv-watch|kv-range|kv-fetch|kv-save|kv-events|Balsamyoke-[A-Z]|balsamyoke/(report|order|ready)|fencing_token|op/config'
found=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^platform/' | grep -v '_test\.go$' | grep -v '\.pb\.go$' \
  | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
  echo "names of the users' platform outside platform/:"
  echo "$found"
  exit 1
fi
