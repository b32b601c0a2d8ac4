# A good version is rolled out by its deadline, and a bad one is rolled back. Engines take 1.5 s to
# load weights.
engine_flags="--token_ms 0"
. "$(dirname "$0")/common.sh.inc"
cp "$(dirname "$0")/../../examples/demo/pools.yaml" "$work/pools.yaml"
sed -i 's/version: v2/version: v1/; s/kind: engine/kind: engine\n    fenced: true/' "$work/pools.yaml"
pools=$work/pools.yaml
start_engine() { local i=$1; shift 2; start_process "engine-$i" "$standin" engine --address "127.0.0.$((30 + i)):9001" --name "engine-$i" --version v1 --fenced "$@"; }
session_start
apply_rollout() { # FROM TO SECONDS
  sed "s/^  - name: ledger/    rollout: {from: $1, to: $2, deadline: $(($(date +%s) + $3))}\n  - name: ledger/" "$work/pools.yaml" >"$work/next.yaml"
  "$router" apply --platform "$platform" --pools "$work/next.yaml" >/dev/null
}
rollout_state() { curl -s -m 2 "http://127.0.0.13:8082/status" | jq -r ".rollouts[\"terms-engines\"] | \"\(.to) \(.stage)\""; }
start_traffic() { # SECONDS: small requests through all instances
  for i in 1 2 3 4 5 6; do
    "$standin" load --target "127.0.0.$((10 + i)):8080" --key "$key_reef" --model loan-terms \
      --requests "$((60 * $1))" --rate 60 --prompt_bytes 64 >"$work/load.$i" 2>&1 &
    loads[i]=$!
  done
}
apply_rollout v1 v2 30
started_at=$(date +%s)
start_traffic 30
rollout_is_done() { [ "$(rollout_state)" = "v2 done" ]; }
wait_until 45 rollout_is_done
echo "good version: $(rollout_state), by its deadline: $([ $(($(date +%s) - started_at)) -le 30 ] && echo yes || echo no)"
wait "${loads[@]}"
for i in 1 2 3 4 5 6; do jq -c '.failures' "$work/load.$i"; done | sort | uniq -c | sed 's/^ */instances and failures of their callers: /'
all_run_new_version() { for i in 1 2 3 4; do [ "$(curl -s "http://127.0.0.$((30 + i)):9001/admin" | jq -r .version)" = v2 ] || return 1; done; }
wait_until 10 all_run_new_version && echo "every engine runs it"

# Version v3 fails nearly every request from the start.
for i in 1 2 3 4; do engine_admin "$i" '{"mode":"error","count":1000000,"version":"v3"}'; done
sed -i 's/version: v1/version: v2/' "$work/pools.yaml"
requests() { local sum=0 i; for i in 1 2 3 4; do sum=$((sum + $(curl -s "http://127.0.0.$((30 + i)):9001/admin" | jq .requests))); done; echo "$sum"; }
apply_rollout v2 v3 40
start_traffic 20
is_rolled_back() { [ "$(rollout_state)" = "v3 taken-back" ]; }
wait_until 25 is_rolled_back
echo "bad version: $(rollout_state)"
wait "${loads[@]}"
for i in 1 2 3 4 5 6; do jq -c '.failures' "$work/load.$i"; done | sort | uniq -c | sed 's/^ */instances and failures of their callers: /'
all_run_old_version() { for i in 1 2 3 4; do [ "$(curl -s "http://127.0.0.$((30 + i)):9001/admin" | jq -r .version)" = v2 ] || return 1; done; }
wait_until 15 all_run_old_version && echo "every engine runs the one before"
# Fenced engines refuse an order with an outdated fencing token.
echo "an old fencing number: $(curl -s -o /dev/null -w '%{http_code}' -d '{"version":"v9","epoch":0}' http://127.0.0.31:9001/orders/load)"
