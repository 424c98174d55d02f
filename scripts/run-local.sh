#!/bin/sh
# Starts or stops a local deployment as plain processes on loopback: agents, entries, and stand-ins for
# the platform and the backend servers. Process ids, settings and logs go to run/.
#   scripts/run-local.sh start [example|ridgeline|nyirangabo]
#   scripts/run-local.sh stop
set -eu
cd "$(dirname "$0")/.."
action=${1:-start}
name=${2:-example}
run=run
port=${BASE_PORT:-19000}

stop_all() {
  [ -f "$run/pids" ] || return 0
  for pid in $(sort -rn "$run/pids"); do kill "$pid" 2>/dev/null || true; done
  for pid in $(cat "$run/pids"); do
    tries=0
    while kill -0 "$pid" 2>/dev/null && [ "$tries" -lt 100 ]; do
      tries=$((tries + 1))
      sleep 0.05
    done
  done
  rm -f "$run/pids"
}

# next_address sets $address to the next unused loopback address of this deployment.
next_address() {
  address="127.0.0.1:$port"
  port=$((port + 1))
}

# launch NAME COMMAND... starts a process with its log in run/NAME.log.
launch() {
  label=$1
  shift
  "$@" >"$run/$label.log" 2>&1 &
  echo $! >>"$run/pids"
}

# domain N prints the failure domain of the Nth instance.
domain() {
  set -- $1 $DOMAINS
  index=$(($1 % ($# - 1)))
  shift
  shift "$index"
  echo "$1"
}

# wait_for ADDRESS PATH waits up to 200 tries, 0.05 s apart, for a successful response.
wait_for() {
  tries=0
  until curl -sf -o /dev/null "http://$1$2"; do
    tries=$((tries + 1))
    if [ "$tries" -gt 200 ]; then
      echo "no response from http://$1$2; see $run/*.log" >&2
      exit 1
    fi
    sleep 0.05
  done
}

# instance_row ID ROLE SERVICE FAILURE_DOMAIN ADDRESS CONTROL_ADDRESS adds one row to the instance list.
instance_row() {
  printf '%s{"id":"%s","role":"%s","service":"%s","region":"local","failure_domain":"%s","address":"%s","control_address":"%s","state":"live"}' \
    "$comma" "$1" "$2" "$3" "$4" "$5" "$6" >>"$run/instances.json"
  comma=','
}

start_agents() { # SERVICE TYPE COUNT STANDIN
  i=0
  while [ "$i" -lt "$3" ]; do
    id="$1-$i"
    next_address; backend=$address
    next_address; listen=$address
    next_address; control=$address
    next_address; metrics=$address
    standin_settings="$run/$id-backend.json"
    if [ "$4" = engine ]; then
      printf '{"weight_version":"%s","weights_address":"%s","load_ms":%s%s}\n' "$WEIGHT_VERSION" "$weights" "${LOAD_MS:-0}" "${ENGINE_SETTINGS:+,$ENGINE_SETTINGS}" >"$standin_settings"
    else
      printf '{}\n' >"$standin_settings"
    fi
    launch "$id-backend" bin/balsam-standin "$4" --listen "$backend" --settings "$standin_settings"
    failure_domain=$(domain "$i")
    cat >"$run/$id.json" <<SETTINGS
{
  "instance": "$id", "region": "local", "failure_domain": "$failure_domain",
  "listen": "$listen", "control": "$control", "metrics": "$metrics",
  "kv": "$kv", "instance_list": "$list",
  "service": "$1", "service_type": "$2", "backend": "$backend",
}
SETTINGS
    launch "$id" bin/balsam-agent --settings "$run/$id.json" ${AGENT_FLAGS:-}
    instance_row "$id" agent "$1" "$failure_domain" "$listen" "$control"
    i=$((i + 1))
  done
}

start_stores() {
  i=0
  while [ "$i" -lt "$STORES" ]; do
    next_address
    printf '{}\n' >"$run/store-$i-settings.json"
    launch "store-$i" bin/balsam-standin store --listen "$address" --settings "$run/store-$i-settings.json"
    instance_row "store-$i" store "" "$(domain "$i")" "$address" ""
    i=$((i + 1))
  done
}

start_entries() {
  i=0
  while [ "$i" -lt "$ENTRIES" ]; do
    id="entry-$i"
    next_address; listen=$address
    next_address; control=$address
    next_address; metrics=$address
    failure_domain=$(domain "$i")
    cat >"$run/$id.json" <<SETTINGS
{
  "instance": "$id", "region": "local", "failure_domain": "$failure_domain",
  "listen": "$listen", "control": "$control", "metrics": "$metrics",
  "kv": "$kv", "instance_list": "$list",
}
SETTINGS
    launch "$id" bin/balsam-entry --settings "$run/$id.json" ${ENTRY_FLAGS:-}
    instance_row "$id" entry "" "$failure_domain" "$listen" "$control"
    entries="$entries $listen"
    i=$((i + 1))
  done
}

start_all() {
  . "deploy/$name/local.env"
  MODEL_REPLICAS=${MODEL_REPLICAS_OVERRIDE:-$MODEL_REPLICAS}
  mkdir -p "$run"
  stop_all
  rm -f "$run"/*.json "$run"/*.log
  entries=''
  comma=''
  next_address; kv=$address
  next_address; list=$address
  next_address; weights=$address
  launch kv bin/balsam-standin kv --listen "$kv"
  launch list bin/balsam-standin list --listen "$list"
  launch weights bin/balsam-standin weights --listen "$weights" --max-parallel "${MAX_PARALLEL_LOADS:-2}"
  printf '{"instances":[' >"$run/instances.json"
  start_agents "$MODEL_SERVICE" model "$MODEL_REPLICAS" engine
  start_agents "$PLAIN_SERVICE" plain "$PLAIN_REPLICAS" plain
  start_stores
  start_entries
  printf ']}\n' >>"$run/instances.json"
  wait_for "$list" /instances
  curl -sf -X PUT -H 'Content-Type: application/json' --data-binary "@$run/instances.json" "http://$list/admin/instances" >/dev/null
  bin/balsamctl apply --kv "$kv" "deploy/$name/manifest.json"
  for entry in $entries; do wait_for "$entry" /healthz; done
  first_entry=${entries# }
  first_entry=${first_entry%% *}
  echo
  echo "deployment $name is up; entries:$entries"
  echo "try:"
  echo "  curl -sN http://$first_entry/v1/chat/completions -H 'Authorization: Bearer $DEMO_KEY' -H 'Content-Type: application/json' -d '{\"model\":\"$MODEL_SERVICE\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"trace circuit 14 from the helm to the bilge pump\"}]}'"
  echo "stop with: make stop"
}

case $action in
start) start_all ;;
stop) stop_all ;;
*)
  echo "usage: run-local.sh start [DEPLOYMENT] | stop" >&2
  exit 2
  ;;
esac
