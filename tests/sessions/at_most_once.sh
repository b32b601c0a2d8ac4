# Non-idempotent requests run at most once, also with repeats, lost responses and a platform outage.
# Compares the response to each with the number of runs that the service logged.
. "$(dirname "$0")/common.sh.inc"
session_start
send_booking() { # INSTANCE BODY [IDEMPOTENCY-KEY]
  curl -s -m 20 -H "Authorization: Bearer $key_reef" ${3:+-H "Idempotency-Key: $3"} \
    -H 'Content-Type: application/json' -d "$2" "http://127.0.0.$((10 + $1)):8080/ledger/loans"
}
count_runs() { curl -s "http://$service/admin" | jq -c --arg b "$1" '[.runs[] | select(. == $b)] | length'; }
echo "booking: $(send_booking 1 '{"kit":1}' k1), runs $(count_runs '{"kit":1}')"
echo "its repeat elsewhere: $(send_booking 2 '{"kit":1}' k1), runs $(count_runs '{"kit":1}')"
echo "the key for another booking: $(send_booking 3 '{"kit":99}' k1 | format_refusal), runs $(count_runs '{"kit":99}')"
curl -s -d '{"mode":"cut"}' "http://$service/admin" >/dev/null
echo "answer lost: $(send_booking 1 '{"kit":2}' k2 | format_refusal), runs $(count_runs '{"kit":2}')"
for i in 2 3 4; do echo "its repeat through $i: $(send_booking $i '{"kit":2}' k2 | format_refusal), runs $(count_runs '{"kit":2}')"; done
curl -s -d '{"mode":"cut"}' "http://$service/admin" >/dev/null
echo "answer lost, no key: $(send_booking 5 '{"kit":3}' | format_refusal), runs $(count_runs '{"kit":3}')"
platform_admin '{"lose_answers":1}'
echo "claim's answer lost: $(send_booking 6 '{"kit":4}' k4), runs $(count_runs '{"kit":4}')"
echo "its repeat: $(send_booking 1 '{"kit":4}' k4), runs $(count_runs '{"kit":4}')"
platform_admin '{"out":true}'
echo "platform out: $(send_booking 2 '{"kit":5}' k5 | format_refusal), runs $(count_runs '{"kit":5}')"
echo "platform out, no key: $(send_booking 3 '{"kit":6}' | jq -c 'has("number")'), runs $(count_runs '{"kit":6}')"
platform_admin '{"out":false}'
echo "platform back: $(send_booking 2 '{"kit":5}' k5 | jq -c 'has("number")'), runs $(count_runs '{"kit":5}')"
stop_process service KILL
sleep 0.3
echo "service down: $(send_booking 4 '{"kit":7}' k7 | format_refusal)"
sleep 2.5
start_process service "$standin" service --address "$service"
wait_until 5 curl -sf -m 1 "http://$service/admin"
echo "service back, the same key elsewhere: $(send_booking 5 '{"kit":7}' k7), runs $(count_runs '{"kit":7}')"
