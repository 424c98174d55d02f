#!/bin/sh
# Compares the first turn of a conversation with its second turn after every replica has evicted the
# prompt: time to first token, computed share of the prompt and link bytes. Runs real processes: the
# example deployment with engines that compute 4,000 prompt tokens per second and cache 12 pieces.
set -eu
cd "$(dirname "$0")/.."
. scripts/sample.sh
export ENGINE_SETTINGS='"cache_pieces":12,"prefill_tokens_per_second":4000'
export AGENT_FLAGS='--prefill-us-per-token 250'

sh scripts/run-local.sh start example >run-local.out
entry=$(sed -n 's/.*entries: \([^ ]*\).*/\1/p' run-local.out)
rm -f run-local.out
trap 'sh scripts/run-local.sh stop' EXIT

# random_text SEED prints about 8,000 tokens that depend on the seed.
random_text() {
  awk -v seed="$1" 'BEGIN {srand(seed); for (i = 0; i < 4100; i++) printf "%c%c%c-%d ", 97 + rand() * 26, 97 + rand() * 26, 97 + rand() * 26, i % 100}'
}

# send_request LABEL MESSAGES sends a request and writes the text of the response to run/answer.txt. It
# prints time to first token, computed share and link bytes unless LABEL is empty.
send_request() {
  printf '{"model":"assistant","stream":true,"max_tokens":16,"messages":[%s]}' "$2" >run/body.json
  first_token_s=$(curl -sN -o run/stream.txt -w '%{time_starttransfer}' "http://$entry/v1/chat/completions" \
    -H 'Authorization: Bearer ridge-demo' -H 'Content-Type: application/json' --data-binary @run/body.json)
  sed -n 's/.*"content":"\([^"]*\)".*/\1/p' run/stream.txt | tr -d '\n' >run/answer.txt
  [ -n "$1" ] || return 0
  grep '"usage"' run/stream.txt | sed 's/.*"prompt_tokens":\([0-9]*\).*"cached_tokens":\([0-9]*\).*"replica":"\([^"]*\)".*"link_bytes":\([0-9]*\).*/\1 \2 \3 \4/' |
    awk -v label="$1" -v first_token_s="$first_token_s" '{printf "%-28s first token %4.0f ms, %5d prompt tokens, %3.0f%% computed, %7d link bytes, on %s\n", label, 1000 * first_token_s, $1, 100 * ($1 - $2) / $1, $4, $3}'
}

# print_usage LABEL prints resident memory and CPU time of one entry and one agent.
print_usage() {
  sample run/entry-0.json >run/one.txt
  sample run/assistant-0.json >>run/one.txt
  awk -v label="$1" '{printf "%-28s %s: %.1f MiB, %d ms of CPU time so far\n", label, $1, $5 / 1024, 10 * $4}' run/one.txt
}

sleep 2
print_usage "idle"
prompt="{\"role\":\"user\",\"content\":\"$(random_text 1)\"}"
send_request "first prompt" "$prompt"
answer=$(cat run/answer.txt)
sleep 3
seed=2
while [ "$seed" -le 13 ]; do
  send_request "" "{\"role\":\"user\",\"content\":\"$(random_text "$seed")\"}"
  seed=$((seed + 1))
done
sleep 5
send_request "return after eviction" "$prompt,{\"role\":\"assistant\",\"content\":\"$answer\"},{\"role\":\"user\",\"content\":\"and the next sheet?\"}"
print_usage "after 14 requests"
