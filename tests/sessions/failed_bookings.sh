# A service that runs each booking and fails it with a status that would tell the caller "not run":
# callers came again, and booked twice. Compares what each caller is told with the runs logged.
. "$(dirname "$0")/common.sh.inc"
session_start
send_booking() { # INSTANCE BODY [IDEMPOTENCY-KEY]
  curl -s -m 20 -D "$work/head" -o "$work/answer" -H "Authorization: Bearer $key_reef" ${3:+-H "Idempotency-Key: $3"} \
    -H 'Content-Type: application/json' -d "$2" "http://127.0.0.$((10 + $1)):8080/ledger/loans"
}
field() { tr -d '\r' <"$work/head" | sed -n "s/^$1: //Ip"; }
# Prints status, error code or the service's body, X-Request-Ran and Retry-After of the last answer.
told() {
  echo "$(head -n 1 "$work/head" | cut -d' ' -f2) $(jq -r '.error.code // .failure // .number' "$work/answer")" \
    "ran: $(field X-Request-Ran | grep . || echo -) retry-after: $(field Retry-After | grep . || echo -)"
}
count_runs() { curl -s "http://$service/admin" | jq -c --arg b "$1" '[.runs[] | select(. == $b)] | length'; }
fail_with() { # STATUS [REJECTS]
  curl -s -m 5 -d "{\"failure_status\":$1,\"rejects\":${2:-false}}" "http://$service/admin" >/dev/null
}
for status in 408 421 429 503 500 404; do
  fail_with "$status"
  send_booking 1 "{\"plain\":$status}"
  echo "$status, no key: $(told), runs $(count_runs "{\"plain\":$status}")"
  send_booking 2 "{\"keyed\":$status}" "key-$status"
  echo "$status, key: $(told), runs $(count_runs "{\"keyed\":$status}")"
  send_booking 3 "{\"keyed\":$status}" "key-$status"
  echo "$status, its repeat elsewhere: $(told), runs $(count_runs "{\"keyed\":$status}")"
  # A GET may run again; the service's answers below 500 stand.
  curl -s -m 20 -D "$work/head" -o "$work/answer" -H "Authorization: Bearer $key_reef" http://127.0.0.14:8080/ledger/loans
  echo "$status, GET: $(told)"
done
fail_with 503 true
send_booking 1 '{"plain":"rejected"}'
echo "503 and not run, no key: $(told), runs $(count_runs '{"plain":"rejected"}')"
send_booking 2 '{"keyed":"rejected"}' key-rejected
echo "503 and not run, key: $(told), runs $(count_runs '{"keyed":"rejected"}')"
fail_with 0
send_booking 3 '{"keyed":"rejected"}' key-rejected
echo "its repeat elsewhere: $(head -n 1 "$work/head" | cut -d' ' -f2), runs $(count_runs '{"keyed":"rejected"}')"
send_booking 4 '{"plain":"again"}'
echo "the service is well again: $(head -n 1 "$work/head" | cut -d' ' -f2)"
withheld=$(for i in 1 2 3; do curl -s -m 5 "http://127.0.0.$((10 + i)):8082/metrics"; done |
  sed -n 's/^trefoil_answers_withheld_total{.*status="\([0-9]*\)".*} \([0-9]*\)$/\1 \2/p' |
  awk '{ count[$1] += $2 } END { for (status in count) print status ": " count[status] }' | sort | paste -sd' ')
echo "answers withheld by status: $withheld"
