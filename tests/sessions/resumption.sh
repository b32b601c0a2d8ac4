# Streams that break off in the middle. What an engine sends that didn't resume was once joined with
# the events before.
. "$(dirname "$0")/common.sh.inc"
session_start
text_of() { sed -n 's/^data: {"object/{"object/p' "$1" | jq -rj '.choices[0].delta.content'; }
is_beginning_of() { [[ $(text_of "$2") == "$(text_of "$1")"* ]] && echo yes || echo no; }
chat_body loan-terms "a question" true >"$work/body"
chat 1 "$key_reef" "$work/body" >"$work/reference"
echo "undisturbed: $(check_stream "$work/reference" 12)"
# One engine breaks off and the next resumes.
for i in 1 2 3 4; do engine_admin "$i" '{"mode":"cut","count":1}'; done
chat 1 "$key_reef" "$work/body" >"$work/answer"
echo "engines that resume: $(check_stream "$work/answer" 12), $([ "$(text_of "$work/answer")" = "$(text_of "$work/reference")" ] && echo "the same text" || echo "another text")"
for i in 1 2 3 4; do engine_admin "$i" '{"mode":"none","count":0}'; done
# Engines without ids begin again.
for i in 1 2 3 4; do engine_admin "$i" '{"mode":"no-resume","count":8}'; done
chat 1 "$key_reef" "$work/body" >"$work/answer"
echo "engines that don't resume: $(text_of "$work/answer" | wc -w) tokens, the beginning of the answer: $(is_beginning_of "$work/answer" "$work/reference"), end marker: $(grep -q '^data: \[DONE\]$' "$work/answer" && echo yes || echo no)"
echo "the caller learns: $(sed -n 's/^data: {"error/{"error/p' "$work/answer" | format_refusal)"
count_not_continued() { curl -s -m 2 http://127.0.0.11:8082/metrics | awk '/^trefoil_streams_not_continued_total/ { sum += $NF } END { print sum + 0 }'; }
echo "counted: $([ "$(count_not_continued)" -gt 0 ] && echo yes || echo no)"
