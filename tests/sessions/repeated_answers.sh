# Backend servers that send each answer twice: before the next answer on the connection, whole or in
# parts, or a moment later on the idle connection. Each caller must get the answer to its own question.
. "$(dirname "$0")/common.sh.inc"
session_start
questions=24
question_body() { # N STREAM
  printf '{"model":"loan-terms","stream":%s,"max_tokens":12,"messages":[{"role":"user","content":"question %s"}]}' "$2" "$1"
}
# Prints the text of a plain answer or of a stream.
text_of() { sed -n 's/^data: {/{/; /^{/p' "$1" | jq -rj '.choices[0] | .message.content // .delta.content'; }
for n in $(seq "$questions"); do
  question_body "$n" false >"$work/body.$n"
  question_body "$n" true >"$work/stream.$n"
  # An engine's answer depends on the question only.
  curl -s -m 5 -H 'Content-Type: application/json' --data-binary "@$work/body.$n" \
    http://127.0.0.31:9001/v1/chat/completions >"$work/answer"
  text_of "$work/answer" >"$work/reference.$n"
done
echo "different answers: $(md5sum "$work"/reference.* | cut -d' ' -f1 | sort -u | wc -l)"
set_repeats() { # next|parts|idle|none
  for i in 1 2 3 4; do engine_admin "$i" "{\"mode\":\"none\",\"count\":0,\"repeat\":\"$1\"}"; done
  curl -s -m 5 -d "{\"repeat\":\"$1\"}" "http://$service/admin" >/dev/null
}
ask_all() { # LABEL body|stream
  local n own=0
  for n in $(seq "$questions"); do
    chat $((n % 2 + 1)) "$key_reef" "$work/$2.$n" >"$work/answer"
    cmp -s <(text_of "$work/answer") "$work/reference.$n" && own=$((own + 1))
  done
  echo "$1: $own of $questions callers got their own answer"
}
ask_service() { # LABEL
  local n own=0 path
  for n in $(seq "$questions"); do
    path=$(curl -s -m 10 -H "Authorization: Bearer $key_reef" "http://127.0.0.$((n % 2 + 11)):8080/ledger/loans/$n" | jq -r .path)
    [ "$path" = "/ledger/loans/$n" ] && own=$((own + 1))
  done
  echo "$1: $own of $questions callers got their own answer"
}
for moment in next parts idle; do
  set_repeats "$moment"
  ask_all "$moment, plain" body
  ask_all "$moment, streams" stream
  ask_service "$moment, service"
done
is_positive() { [ "$1" -gt 0 ] && echo yes || echo no; }
count_repeats() { for i in 1 2 3; do curl -s -m 5 "http://127.0.0.$((30 + i)):9001/admin"; done | jq -s "map($1) | add"; }
echo "engines sent answers twice: $(is_positive "$(count_repeats .repeated)")"
echo "engines sent states twice: $(is_positive "$(count_repeats .repeated_states)")"
echo "the service sent answers twice: $(is_positive "$(curl -s "http://$service/admin" | jq .repeated)")"
skipped=$(for i in 1 2; do curl -s -m 5 "http://127.0.0.$((10 + i)):8082/metrics"; done |
  awk '/^trefoil_foreign_answers_total\{.*reason="late"/ { sum += $NF } END { print sum + 0 }')
echo "late answers were counted: $(is_positive "$skipped")"
