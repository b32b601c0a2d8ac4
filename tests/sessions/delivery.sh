# Responses that are truncated, empty, duplicated, failed or lost with their server, and a request
# that crashes every server that runs it.
. "$(dirname "$0")/common.sh.inc"
session_start
chat_body loan-terms "a question" true >"$work/body"
check_answer() { # LABEL INSTANCE
  chat "$2" "$key_reef" "$work/body" >"$work/answer"
  echo "$1: $(check_stream "$work/answer" 12)"
}
set_engine_faults() { for i in 1 2 3; do engine_admin "$i" "$1"; done; }
check_answer "undisturbed" 1
cp "$work/answer" "$work/reference"
# Each engine applies the fault once, so that the first engine tried fails, and the next may too.
set_engine_faults '{"mode":"cut","count":1}'
check_answer "cut in the middle" 2
cmp -s <(grep '^data: {' "$work/answer") <(grep '^data: {' "$work/reference") && echo "the resumed text is the undisturbed one"
set_engine_faults '{"mode":"empty","count":1}'
check_answer "empty" 3
set_engine_faults '{"mode":"twice","count":1}'
check_answer "each token twice" 4
set_engine_faults '{"mode":"none","count":0}'
set_engine_faults '{"mode":"error","count":1}'
check_answer "status 500" 5
set_engine_faults '{"mode":"none","count":0}'
# The engine process exits in the middle of a stream.
engine_admin 1 '{"mode":"die","count":1}'
engine_admin 2 '{"mode":"die","count":1}'
check_answer "servers die in the middle" 6
set_engine_faults '{"mode":"none","count":0}'
for i in 1 2 3; do
  kill -0 "${pids[engine-$i]}" 2>/dev/null || { unset "pids[engine-$i]"; start_engine "$i" v1; }
done
sleep 3
# A truncated response without streaming is requested again.
chat_body loan-terms "a question" false >"$work/body"
set_engine_faults '{"mode":"cut","count":1}'
echo "whole answer, cut once: $(chat 1 "$key_reef" "$work/body" | jq -c .usage.completion_tokens)"
set_engine_faults '{"mode":"none","count":0}'
# A request that crashes servers, repeated by its caller through other instances.
count_running_engines() { local running=0 i; for i in 1 2 3 4; do kill -0 "${pids[engine-$i]}" 2>/dev/null && running=$((running + 1)); done; echo "$running"; }
running_before=$(count_running_engines)
chat_body loan-terms "crash the server" true >"$work/body"
for i in 1 2 3 4 5 6; do
  chat "$i" "$key_reef" "$work/body" | format_refusal | sed "s/^/the crashing request through instance $i: /"
done
echo "servers lost to it: $((running_before - $(count_running_engines)))"
chat_body loan-terms "a question" true >"$work/body"
check_answer "others are served meanwhile" 2
