# Withdrawal of a key, concurrent and invalid table updates, and restarts during a platform outage.
# Instance 6 reaches its peers but never the platform.
cluster_settings_hook() { [ "$1" = 6 ] && sed -i "s/address: 127.0.0.2:9000/address: 127.0.0.3:9000/" "$dir/entry-6.yaml"; return 0; }
. "$(dirname "$0")/common.sh.inc"
session_start
chat_body loan-terms "a question" false >"$work/body"
status_of() { chat "$1" "$2" "$work/body" -o /dev/null -w '%{http_code}'; }
echo "instance 6, without the platform, serves: $(status_of 6 "$key_reef")"
digest=$("$router" keys list --platform "$platform" --team dune --format json | jq -r '.[0].digest')
echo "before the withdrawal: $(for i in 1 2 3 4 5 6; do status_of "$i" "$key_dune"; echo -n ' '; done)"
# Sends requests over one persistent connection while the key is withdrawn.
python3 - "$key_dune" <<'P' >"$work/open" &
import http.client, json, sys, time
connection = http.client.HTTPConnection("127.0.0.16", 8080, timeout=10)
connection.connect()
socket = connection.sock
end = time.time() + 8
statuses = []
while time.time() < end:
    connection.request("GET", "/v1/models", headers={"Authorization": "Bearer " + sys.argv[1]})
    answer = connection.getresponse()
    answer.read()
    statuses.append((time.time(), answer.status))
    time.sleep(0.05)
first = next((t for t, s in statuses if s == 401), None)
print("same connection" if connection.sock is socket else "reconnected",
      "refused at last" if statuses[-1][1] == 401 else "still served",
      "never served again" if first and all(s == 401 for t, s in statuses if t >= first) else "flapped")
P
probe_pid=$!
sleep 1
"$router" keys withdraw --platform "$platform" --digest "$digest"
withdrawn_at=$(date +%s%N)
all_refuse() { for i in 1 2 3 4 5 6; do [ "$(status_of "$i" "$key_dune")" = 401 ] || return 1; done; }
wait_until 10 all_refuse && echo "refused everywhere, within 5 s: $([ $((($(date +%s%N) - withdrawn_at) / 1000000)) -le 5000 ] && echo yes || echo no)"
wait "$probe_pid"
echo "an open connection through instance 6: $(cat "$work/open")"
echo "the other team is served: $(status_of 3 "$key_reef")"

echo "--- tables"
version_in_force() { curl -s -m 2 "http://127.0.0.$((10 + $1)):8082/status" | jq -c '.configuration.routes.in_force_everywhere'; }
sed 's/rate: 200000/rate: 210000/' "$root/examples/demo/routes.yaml" >"$work/a.yaml"
sed 's/rate: 200000/rate: 220000/' "$root/examples/demo/routes.yaml" >"$work/b.yaml"
version_before=$(version_in_force 1)
"$router" apply --platform "$platform" --routes "$work/a.yaml" >"$work/a.out" 2>&1 &
pid_a=$!
"$router" apply --platform "$platform" --routes "$work/b.yaml" >"$work/b.out" 2>&1 &
pid_b=$!
wait "$pid_a"; status_a=$?
wait "$pid_b"; status_b=$?
# Both updates are applied in turn or one is rejected as conflicting; none may be lost silently.
[ "$status_a" -eq 0 ] || [ "$status_b" -eq 0 ] && echo "two operators race: at least one applied, the other told if not"
version_has_risen() { [ "$(version_in_force 1)" -gt "$version_before" ]; }
changed_at=$(date +%s%N)
wait_until 10 version_has_risen && echo "in force everywhere, within 5 s: $([ $((($(date +%s%N) - changed_at) / 1000000)) -le 5000 ] && echo yes || echo no)"
printf 'teams: []\nroutes:\n  - {name: x, model: m, pool: none, open: true}\n  - {name: x, mdoel: n, pool: none}\n' >"$work/bad.yaml"
"$router" apply --platform "$platform" --routes "$work/bad.yaml" 2>&1 | sed "s#$work/##"
# Written to the platform without the checks: every instance must reject and report the table.
version=$(curl -s "http://$platform/objects/config%2Froutes" | jq .version)
curl -s -X PUT --data-binary "@$work/bad.yaml" "http://$platform/objects/config%2Froutes?expected=$version" >/dev/null
table_is_reported() { curl -s "http://127.0.0.14:8082/status" | jq -e '.findings | length > 0'; }
wait_until 10 table_is_reported && curl -s "http://127.0.0.14:8082/status" | jq -r '.findings[]'
echo "the table before stays in force: $(status_of 4 "$key_reef")"

echo "--- restarts while the platform is out"
version=$(curl -s "http://$platform/objects/config%2Froutes" | jq .version)
"$router" apply --platform "$platform" --routes "$work/a.yaml" >/dev/null
has_no_findings() { curl -s "http://127.0.0.14:8082/status" | jq -e '.findings | length == 0'; }
wait_until 10 has_no_findings
version_before_outage=$(version_in_force 2)
platform_admin '{"out":true}'
for i in 2 4; do
  pid=${pids[entry-$i]}
  stop_process "entry-$i" KILL
  wait_for_exit "$pid" 5
  start_instance "$i"
done
started_at=$(date +%s%N)
for i in 2 4; do wait_until 15 instance_ready "$i"; done
echo "ready within 3 s: $([ $((($(date +%s%N) - started_at) / 1000000)) -le 3000 ] && echo yes || echo no)"
both_serve() { [ "$(status_of 2 "$key_reef")" = 200 ] && [ "$(status_of 4 "$key_reef")" = 200 ]; }
wait_until 10 both_serve && echo "both serve"
newest_version() { curl -s -m 2 "http://127.0.0.12:8082/status" | jq -c '.configuration.routes.newest'; }
echo "the version did not go back: $([ "$(newest_version)" -ge "$version_before_outage" ] && echo yes || echo no)"
echo "the withdrawn key stays withdrawn: $(status_of 2 "$key_dune") $(status_of 4 "$key_dune")"
