# End-to-end requests: entry addresses, models, streaming and other responses, and refusals. Backend
# servers receive only the pool's credential, and callers' keys don't appear in logs and traces.
. "$(dirname "$0")/common.sh.inc"
session_start
echo "entry: $(curl -s -H "Authorization: Bearer $key_reef" 'http://127.0.0.13:8080/v1/entry?model=loan-terms' | jq -c '[(.entries | length), .validity_seconds]')"
echo "models: $(curl -s -H "Authorization: Bearer $key_dune" http://127.0.0.12:8080/v1/models | jq -c '[.data[].id]')"
chat_body loan-terms "a question" true >"$work/body"
for i in 1 2 3 4 5 6; do
  chat "$i" "$key_reef" "$work/body" >"$work/answer"
  echo "stream through instance $i: $(check_stream "$work/answer" 12)"
done
chat_body loan-terms "a question" false >"$work/body"
echo "whole: $(chat 2 "$key_reef" "$work/body" | jq -c '[.choices[0].finish_reason, .usage.completion_tokens]')"
echo "no key: $(curl -s --data-binary "@$work/body" http://127.0.0.11:8080/v1/chat/completions | format_refusal)"
echo "bad key: $(chat 1 wrong "$work/body" | format_refusal)"
echo '{"model":"none","prompt":"x"}' >"$work/body"
echo "no such model: $(chat 1 "$key_reef" "$work/body" | format_refusal)"
echo '{"model":"loan-terms","max_tokens":99999,"prompt":"x"}' >"$work/body"
echo "too many tokens: $(chat 1 "$key_reef" "$work/body" | format_refusal)"
echo '{"model":"loan-terms"' >"$work/body"
echo "cut body: $(chat 1 "$key_reef" "$work/body" | format_refusal)"
echo "other team's route: $(curl -s -d x -H "Authorization: Bearer $key_dune" http://127.0.0.11:8080/ledger/x | format_refusal)"
echo '{"model":"notices","prompt":"x","max_tokens":3}' >"$work/body"
echo "open route: $(curl -s --data-binary "@$work/body" http://127.0.0.11:8080/v1/completions | jq -c '.usage.completion_tokens')"
echo "headers of a refusal: $(curl -s -o /dev/null -D - -d x http://127.0.0.11:8080/ledger/x | tr -d '\r' | grep -i -E '^(HTTP|X-Request-Ran)' | paste -sd' ')"
echo "the ledger's callers: $(curl -s -d '{}' -H "Authorization: Bearer $key_reef" http://127.0.0.11:8080/ledger/x | jq -c .) $(curl -s "http://$service/admin" | jq -c .authorizations)"
for i in 1 2 3 4; do curl -s "http://127.0.0.$((30 + i)):9001/admin" | jq -c '.authorizations[]'; done | sort -u | sed 's/^/the engines saw: /'
grep -l -e "$key_reef" -e "$key_dune" "$work"/*.log "$work/traces.jsonl" | sed 's/^/a key stands in /'
echo "spans: $(jq -r '.resourceSpans[].scopeSpans[].spans[].name' "$work/traces.jsonl" | sort -u | paste -sd' ')"
