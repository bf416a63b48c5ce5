#!/usr/bin/env bash
# Functions that run a small deployment on the loopback address: the platform
# stand-in, target stand-ins and daemons. Sourced by misc/demo.sh. The sourcing
# script sets `bin` (folder with the programs) and `work` (folder for files).

platform_port=25000
declare -A pids=()
targets=()
controls=()
daemon_names=()

start() { # NAME COMMAND...: starts a process and records its pid
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids[$name]=$!
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

api() { # METHOD PATH [BODY]: sends a request to the platform stand-in
  curl --silent --show-error --fail --noproxy '*' -X "$1" \
    "http://127.0.0.1:$platform_port$2" ${3:+-d "$3"} >/dev/null
}

register() { # NAME PORT DATA_CENTRE RACK POOL KIND
  api PUT /v1/catalog/register "{\"Node\":\"$1\",\"Address\":\"127.0.0.1\",
    \"NodeMeta\":{\"port\":\"$2\",\"data_centre\":\"$3\",\"rack\":\"$4\",
    \"pool\":\"$5\",\"kind\":\"$6\"}}"
}

start_platform() { # REBOOT_MS
  start platform "$bin/platform_stand_in" --port "$platform_port" \
    --reboot_ms "$1"
  local i
  for ((i = 0; i < 100; i++)); do
    api GET /v1/catalog/nodes 2>/dev/null && return 0
    sleep 0.1
  done
  echo "the platform stand-in did not start" >&2
  return 1
}

# Assigns the workers to the pools and the data centres in turn; 4 workers of a
# data centre share a rack.
start_targets() { # SERVICE_MS POOL:COUNT...
  local service_ms=$1 spec pool i number=0 left=1 dc rack
  shift
  for ((i = 0; left > 0; i++)); do
    left=0
    for spec in "$@"; do
      pool=${spec%%:*}
      ((i < ${spec##*:})) || continue
      left=1
      dc="dc$((number % 3 + 1))"
      rack="$dc-rack$((number / 12 + 1))"
      start "worker-$number" "$bin/target_stand_in" --vm "worker-$number" \
        --port $((25100 + number)) --control_port $((25300 + number)) \
        --service_ms "$service_ms"
      targets+=("127.0.0.1:$((25100 + number))")
      controls+=("127.0.0.1:$((25300 + number))")
      register "worker-$number" $((25100 + number)) "$dc" "$rack" "$pool" target
      number=$((number + 1))
    done
  done
}

write_daemon_settings() { # NUMBER DAEMONS
  local number=$1 daemons=$2 i seeds=""
  for ((i = 0; i < daemons; i++)); do
    seeds+="${seeds:+,}{\"daemon\":\"entry-$i\",\"data_centre\":\"dc$((i % 3 + 1))\",
      \"address\":\"127.0.0.1:$((25540 + i))\"}"
  done
  cat >"$work/entry-$number.json" <<JSON
{ "daemon": "entry-$number", "data_centre": "dc$((number % 3 + 1))",
  "callers": { "address": "127.0.0.1", "port": $((25500 + number)), "threads": 2 },
  "admin": { "address": "127.0.0.1", "port": $((25520 + number)) },
  "peers": { "address": "127.0.0.1", "port": $((25540 + number)), "seeds": [$seeds] },
  "platform": { "url": "http://127.0.0.1:$platform_port" } }
JSON
}

start_daemon() { # NUMBER
  start "entry-$1" "$bin/bramleystalld" --settings "$work/entry-$1.json"
}

start_daemons() { # COUNT
  local i admins=""
  for ((i = 0; i < $1; i++)); do
    write_daemon_settings "$i" "$1"
    register "entry-$i" $((25540 + i)) "dc$((i % 3 + 1))" "entry" "" entry
    start_daemon "$i"
    daemon_names+=("entry-$i")
    admins+="${admins:+,}\"127.0.0.1:$((25520 + i))\""
  done
  cat >"$work/tool.json" <<JSON
{ "platform": { "url": "http://127.0.0.1:$platform_port" },
  "admin": [$admins], "operator": "demo" }
JSON
}

tool() { "$bin/bramleystall" --settings "$work/tool.json" "$@"; }

admin() { # NUMBER PATH: reads from the admin port of a daemon
  curl --silent --fail --noproxy '*' --max-time 2 \
    "http://127.0.0.1:$((25520 + $1))$2"
}

wait_until() { # SECONDS DESCRIPTION COMMAND...: polls until the command succeeds
  local seconds=$1 description=$2 end
  shift 2
  end=$((SECONDS + seconds))
  until "$@"; do
    if ((SECONDS >= end)); then
      echo "timed out after $seconds s: $description" >&2
      return 1
    fi
    sleep 0.3
  done
}

ready_vms() { # prints the number of ready VMs, from one daemon of each data centre
  local i total=0 count
  for i in 0 1 2; do
    count=$(admin "$i" /v1/status | jq '[.vms[] | select(.state == "ready")] | length') || return 1
    total=$((total + count))
  done
  echo "$total"
}

has_ready_vms() { # COUNT
  local count
  count=$(ready_vms) && ((count >= $1))
}

ready_vm_of() { # POOL: prints one ready VM of the pool
  admin 0 /v1/status | jq -r --arg pool "$1" \
    '[.vms[] | select(.pool == $pool and .state == "ready")][0].vm'
}

order_state() { # ID
  admin 0 /v1/orders | jq -r --arg id "$1" '.orders[] | select(.id == $id) | .state'
}

is_order_done() { # ID
  [[ $(order_state "$1") == done ]]
}
