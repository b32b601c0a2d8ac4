# A caller gives up its stream, and the instance cancels the attempt at the engine. An instance's
# cancellation once ended the attempts of other instances that had the same number.
. "$(dirname "$0")/common.sh.inc"
sed '/engine-[234]/d' "$(dirname "$0")/../../examples/demo/pools.yaml" >"$work/pools.yaml"
pools=$work/pools.yaml
session_start
max_tokens=400 chat_body loan-terms "a long question" true >"$work/long"
chat_body loan-terms "a question" true >"$work/body"
cancelled_count() { curl -s -m 5 http://127.0.0.31:9001/admin | jq .cancelled; }
has_cancellation() { [ "$(cancelled_count)" -gt 0 ]; }
chat 1 "$key_reef" "$work/long" -m 0.5 >/dev/null
wait_until 5 has_cancellation
echo "attempts cancelled: $(cancelled_count)"
for i in 2 3 4 5 6; do
  chat "$i" "$key_reef" "$work/body" >"$work/answer"
  echo "the first stream of instance $i: $(check_stream "$work/answer" 12)"
done
stop_process entry-1 KILL
start_instance 1
wait_until 10 instance_ready 1
is_complete() { chat 1 "$key_reef" "$work/body" >"$work/answer" && [ "$(check_stream "$work/answer" 12)" = complete ]; }
wait_until 15 is_complete
echo "attempts of the restarted instance that failed: $(curl -s -m 2 http://127.0.0.11:8082/metrics | awk '/^trefoil_attempts_failed_total/ { sum += $NF } END { print sum + 0 }')"
