#!/bin/sh
# Shows a prompt's first turn and its return after every replica has evicted it: time to the first
# token, computed share of the prompt and link bytes. Real processes: the example deployment with
# engines of 4,000 prompt tokens a second whose caches hold 12 pieces.
set -eu
cd "$(dirname "$0")/.."
. scripts/sample.sh
export ENGINE_SETTINGS='"cache_pieces":12,"prefill_tokens_per_second":4000'
export AGENT_FLAGS='--prefill-us-per-token 250'

sh scripts/run-local.sh start example >run-local.out
entry=$(sed -n 's/.*entries: \([^ ]*\).*/\1/p' run-local.out)
rm -f run-local.out
trap 'sh scripts/run-local.sh stop' EXIT

# text SEED prints about 8,000 tokens that depend on the seed.
text() {
  awk -v seed="$1" 'BEGIN {srand(seed); for (i = 0; i < 4100; i++) printf "%c%c%c-%d ", 97 + rand() * 26, 97 + rand() * 26, 97 + rand() * 26, i % 100}'
}

# ask LABEL MESSAGES sends a request and prints what it cost; the answer's text goes to run/answer.txt.
ask() {
  printf '{"model":"assistant","stream":true,"max_tokens":16,"messages":[%s]}' "$2" >run/body.json
  first=$(curl -sN -o run/stream.txt -w '%{time_starttransfer}' "http://$entry/v1/chat/completions" \
    -H 'Authorization: Bearer ridge-demo' -H 'Content-Type: application/json' --data-binary @run/body.json)
  sed -n 's/.*"content":"\([^"]*\)".*/\1/p' run/stream.txt | tr -d '\n' >run/answer.txt
  [ -n "$1" ] || return 0
  grep '"usage"' run/stream.txt | sed 's/.*"prompt_tokens":\([0-9]*\).*"cached_tokens":\([0-9]*\).*"replica":"\([^"]*\)".*"link_bytes":\([0-9]*\).*/\1 \2 \3 \4/' |
    awk -v label="$1" -v first="$first" '{printf "%-28s first token %4.0f ms, %5d prompt tokens, %3.0f%% computed, %7d link bytes, on %s\n", label, 1000 * first, $1, 100 * ($1 - $2) / $1, $4, $3}'
}

costs() {
  sample run/entry-0.json >run/one.txt
  sample run/assistant-0.json >>run/one.txt
  awk -v label="$1" '{printf "%-28s %s: %.1f MiB, %d ms of processor time so far\n", label, $1, $5 / 1024, 10 * $4}' run/one.txt
}

sleep 2
costs "idle"
prompt="{\"role\":\"user\",\"content\":\"$(text 1)\"}"
ask "first prompt" "$prompt"
answer=$(cat run/answer.txt)
sleep 3
turn=2
while [ "$turn" -le 13 ]; do
  ask "" "{\"role\":\"user\",\"content\":\"$(text "$turn")\"}"
  turn=$((turn + 1))
done
sleep 5
ask "return after eviction" "$prompt,{\"role\":\"assistant\",\"content\":\"$answer\"},{\"role\":\"user\",\"content\":\"and the next sheet?\"}"
costs "after 14 requests"
