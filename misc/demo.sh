#!/usr/bin/env bash
# Runs a small deployment on this machine: 49 workers, 6 daemons in 3 data
# centres and the platform stand-in. Under load it publishes a configuration
# change, moves and drains VMs, maintains a pool and kills a daemon. The last
# line is the verdict; exit 0 only when nothing was lost, doubled or cut.
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
# Daemons own request ids that are created 10 s after their start.
sleep 8

daemons=$(for i in {0..5}; do printf '"127.0.0.1:%d",' $((25500 + i)); done)
records=$(printf '"%s",' "${controls[@]}")
cat >"$work/plan.json" <<JSON
{ "services": [
  { "service": "renewals-norte", "method": "POST", "path": "/norte/renewals/1", "rate": 20, "work_ms": 30 },
  { "service": "renewals-sur", "method": "POST", "path": "/sur/renewals/1", "rate": 15, "work_ms": 30 },
  { "service": "renewals-oriente", "method": "GET", "path": "/oriente/renewals/1", "rate": 15 },
  { "service": "renewals-occidente", "method": "GET", "path": "/occidente/renewals/1", "rate": 15, "work_ms": 100 } ],
  "daemons": [ ${daemons%,} ], "targets": [ ${records%,} ] }
JSON
"$bin/caller_stand_in" --plan "$work/plan.json" --seconds "$load_seconds" \
  --seed "$seed" --resend_fraction 0.02 \
  --killed_daemons 127.0.0.1:25505 >"$work/caller.out" 2>&1 &
caller=$!
say "callers send 65 requests a second for $load_seconds s"
sleep 3

say "publishing a configuration change under load"
sed -i 's/"queue_limit": [0-9]*/"queue_limit": 800/' \
  "$work/services/renewals-norte.service.json"
tool publish "$work/services" --wait 10

order_of() { jq -r '.order.id // .id'; }
moving=$(ready_vm_of counter-norte)
draining=$(ready_vm_of counter-occidente)
say "moving $moving from counter-norte to counter-sur, draining $draining"
move=$(tool --output json move "$moving" counter-sur | order_of)
drain=$(tool --output json drain "$draining" | order_of)
wait_until 40 "the move ends" is_order_done "$move"
say "$(tool explain vm "$moving" | head -n 1)"
wait_until 40 "the drain ends" is_order_done "$drain"
say "$draining was drained, rebooted and is back"

say "killing daemon entry-5 with SIGKILL"
kill -KILL "${pids[entry-5]}"
sleep 1
api PUT /v1/catalog/deregister '{"Node":"entry-5"}'

say "maintaining pool counter-norte"
wave=$(tool --output json wave counter-norte | order_of)
wait_until 90 "the wave ends" is_order_done "$wave"
say "wave ended: $(tool explain wave "$wave" | head -n 1)"

wait "$caller" && verdict=0 || verdict=$?
grep -E '^(service|false_refusals)' "$work/caller.out" || true
violations=$(sed -n 's/.* slot_violations=\([0-9]*\) connection_violations=\([0-9]*\).*/\1 \2/p' \
  "$work/caller.out" | awk '{ n += $1 + $2 } END { print n + 0 }')
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
echo "demo: $(tail -n 1 "$work/caller.out")"
exit "$verdict"
