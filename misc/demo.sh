#!/usr/bin/env bash
# Runs a small deployment on this machine: 49 workers, 6 daemons in 3 data
# centres and the platform stand-in. Under load it publishes a configuration
# change, moves and drains VMs, maintains a pool and kills a daemon. The last
# line has the counts of all callers. Exits with 0 only if the callers found no
# fault such as a lost, doubled or cut request, no worker limit was violated and
# the remaining daemons stopped cleanly.
set -euo pipefail
cd "$(dirname "$0")/.."
load_seconds=${DEMO_SECONDS:-75}
seed=${DEMO_SEED:-1}

bash misc/install.sh
cmake --preset release >/dev/null
cmake --build --preset release --target bramleystalld bramleystall \
  platform_stand_in target_stand_in caller_stand_in >/dev/null
bin=$PWD/build/release
work=$(mktemp -d)
source misc/deployment.sh
trap 'stop_all; rm -rf "$work"' EXIT
# After a failed command, prints the state of the fleet and the last log lines.
trap 'tool status; tail -qn 5 "$work"/entry-*.log' ERR

say() { printf '%4d s  %s\n' "$SECONDS" "$*"; }

SECONDS=0
say "starting the platform stand-in, 49 workers and 6 daemons"
start_platform 2500
start_targets 10 counter-norte:9 counter-sur:9 counter-oriente:11 \
  counter-occidente:12 spare:8
start_daemons 6
cp -r examples/consortium/services "$work/services"
tool validate "$work/services"
tool publish "$work/services" --wait 10
wait_until 60 "49 VMs are ready" has_ready_vms 49
say "49 VMs are ready"
# A daemon owns only request ids created at least 10 s after its start.
sleep 8

records=$(printf '"%s",' "${controls[@]}")
# A request runs at most once only among the daemons of one data centre, so the
# callers of a data centre resend requests only through its own daemons.
start_caller() { # DATA_CENTRE_NUMBER
  cat >"$work/plan-$1.json" <<JSON
{ "services": [
  { "service": "renewals-norte", "method": "POST", "path": "/norte/renewals/1", "rate": 7, "work_ms": 30 },
  { "service": "renewals-sur", "method": "POST", "path": "/sur/renewals/1", "rate": 5, "work_ms": 30 },
  { "service": "renewals-oriente", "method": "GET", "path": "/oriente/renewals/1", "rate": 5 },
  { "service": "renewals-occidente", "method": "GET", "path": "/occidente/renewals/1", "rate": 5, "work_ms": 100 } ],
  "daemons": [ "127.0.0.1:$((25500 + $1))", "127.0.0.1:$((25503 + $1))" ],
  "targets": [ ${records%,} ] }
JSON
  "$bin/caller_stand_in" --plan "$work/plan-$1.json" \
    --seconds "$load_seconds" --seed $((seed * 10 + $1)) \
    --resend_fraction 0.02 --killed_daemons 127.0.0.1:25505 \
    >"$work/caller-$1.out" 2>&1 &
  callers+=($!)
}
callers=()
for i in 0 1 2; do
  start_caller "$i"
done
say "callers send 66 requests a second for $load_seconds s"
sleep 3

say "publishing a configuration change under load"
sed -i 's/"queue_limit": [0-9]*/"queue_limit": 800/' \
  "$work/services/renewals-norte.service.json"
tool publish "$work/services" --wait 10

order_of() { jq -r '.order.id // .id'; }
summary_of() { tool --output json explain "$@" | jq -r '[.. | .summary? // empty][0]'; }
moving=$(ready_vm_of counter-norte)
draining=$(ready_vm_of counter-occidente)
say "moving $moving from counter-norte to counter-sur, draining $draining"
move=$(tool --output json move "$moving" counter-sur | order_of)
drain=$(tool --output json drain "$draining" | order_of)
wait_until 40 "the move ends" is_order_done "$move"
say "$moving: $(summary_of vm "$moving")"
wait_until 40 "the drain ends" is_order_done "$drain"
say "$draining was drained, rebooted and is back"

say "killing daemon entry-5 with SIGKILL"
kill -KILL "${pids[entry-5]}"
sleep 1
api PUT /v1/catalog/deregister '{"Node":"entry-5"}'

say "maintaining pool counter-norte"
wave=$(tool --output json wave counter-norte | order_of)
wait_until 90 "the wave ends" is_order_done "$wave"
say "wave ended: $(summary_of wave "$wave")"

verdict=0
for i in 0 1 2; do
  wait "${callers[$i]}" || verdict=1
  grep -hE '^(service|false_refusals)' "$work/caller-$i.out" || true
done
violations=$(sed -n 's/.* slot_violations=\([0-9]*\) connection_violations=\([0-9]*\).*/\1 \2/p' \
  "$work/caller-2.out" | awk '{ n += $1 + $2 } END { print n + 0 }')
say "limit violations at the workers: $violations"
tool status || true

say "graceful shutdown of the remaining daemons"
for i in {0..4}; do
  kill -TERM "${pids[entry-$i]}"
done
for i in {0..4}; do
  wait "${pids[entry-$i]}" || { echo "entry-$i did not stop cleanly"; verdict=1; }
done
[[ $violations == 0 ]] || verdict=1
# Sums the counts that each caller prints in its last line.
totals=$(tail -qn 1 "$work"/caller-?.out | tr ' ' '\n' | awk -F= '
  { if (!($1 in sum)) names[++n] = $1; sum[$1] += $2 }
  END { for (i = 1; i <= n; i++) printf " %s=%d", names[i], sum[names[i]] }')
echo "demo:$totals"
exit "$verdict"
