#!/bin/sh
# Measures one entry and some agents as real processes at the design size: an instance list of 11,000
# rows, all but a few of them with addresses where nothing listens, and 1,000 organisations. Prints the
# resident memory at the example's size and at the design size, where it also prints CPU time and
# control bytes.
#   scripts/design-size.sh [SECONDS]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-30}
. scripts/sample.sh
instance_list=127.0.0.1:19001
kv=127.0.0.1:19000

# write_large_list adds 3,100 entries and 7,900 agents in 6 regions and 18 failure domains to the local ones.
write_large_list() {
  awk 'BEGIN {
    for (i = 0; i < 11000; i++) {
      role = i < 3100 ? "entry" : "agent"
      service = i < 3100 ? "" : "model-" i % 5
      host = sprintf("127.%d.%d.%d", 201 + i % 7, int(i / 7) % 250 + 1, int(i / 1750) + 1)
      printf ",{\"id\":\"far-%d\",\"role\":\"%s\",\"service\":\"%s\",\"region\":\"region-%d\",\"failure_domain\":\"domain-%d\",\"address\":\"%s:9\",\"control_address\":\"%s:8\",\"state\":\"live\"}", i, role, service, i % 6, i % 18, host, host
    }
  }' >run/far.json
  sed 's/]}$//' run/instances.json >run/big.json
  cat run/far.json >>run/big.json
  printf ']}\n' >>run/big.json
}

# write_large_manifest adds 1,000 organisations to the example.
write_large_manifest() {
  awk '/"services": \[/ && !done {done = 1}
    /"name": "lake"/ {print; for (i = 0; i < 1000; i++) printf "    {\"name\": \"organisation-%d\", \"key_digests\": [\"%064x\"], \"requests_per_second\": 50},\n", i, i + 1; next}
    {print}' deploy/example/manifest.json >run/big-manifest.json
}

sample_processes() {
  for name in entry-0 assistant-0 archive-0; do
    sample "run/$name.json"
  done
}

MODEL_REPLICAS_OVERRIDE=4 sh scripts/run-local.sh start example >/dev/null
trap 'sh scripts/run-local.sh stop' EXIT
sleep 5
echo "small list and manifest:"
sample_processes | awk '{printf "  %s rss %.1f MiB\n", $2, $5 / 1024}'
write_large_list
write_large_manifest
curl -sf -X PUT -H 'Content-Type: application/json' --data-binary @run/big.json "http://$instance_list/admin/instances" >/dev/null
bin/balsamctl apply --kv "$kv" run/big-manifest.json
sleep 10
sample_processes >run/before.txt
sleep "$seconds"
sample_processes >run/after.txt
echo "11,000 rows and 1,000 organisations, over $seconds s:"
paste -d' ' run/before.txt run/after.txt | awk -v s="$seconds" -v hz="$clock_ticks" \
  '{printf "  %s rss %.1f MiB, %.2f%% of a core, %.0f control bytes/s\n", $2, $10 / 1024, 100 * ($9 - $4) / hz / s, ($8 - $3) / s}'
