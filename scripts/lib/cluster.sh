# Functions that start and stop a small deployment on 127.0.0.x, sourced by the demo, the session
# tests and the benchmarks. Processes are only signalled by their ids.
#
#   cluster_start DIR   starts a platform, six instances in three zones, four engines and a service
#   cluster_stop        stops all processes that were started
#
# Addresses: instance i 127.0.0.(10+i), ports 8080 (callers), 8081 (peers), 8082 (operators);
# platform 127.0.0.2:9000; engine i 127.0.0.(30+i):9001; service 127.0.0.60:9002.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
router=$root/build/trefoilrouter/trefoilrouter
standin=$root/build/standins/standin
platform=127.0.0.2:9000
service=127.0.0.60:9002
instances=${instances:-6}
declare -A pids=()

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
  disown "${pids[$name]}"
}

stop_process() { # NAME [SIGNAL]
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

wait_for_exit() { # PID [SECONDS]: waits for the process to exit
  local pid=$1 attempts_left=$((${2:-15} * 20))
  while kill -0 "$pid" 2>/dev/null; do
    attempts_left=$((attempts_left - 1))
    [ "$attempts_left" -gt 0 ] || return 1
    sleep 0.05
  done
}

wait_until() { # SECONDS COMMAND...: retries the command until it succeeds, or fails after SECONDS
  local attempts_left=$(($1 * 20))
  shift
  until "$@" >/dev/null 2>&1; do
    attempts_left=$((attempts_left - 1))
    [ "$attempts_left" -gt 0 ] || return 1
    sleep 0.05
  done
}

write_settings() { # I
  local zones=(a b c)
  cat >"$dir/entry-$1.yaml" <<Y
name: entry-$1
zone: ${zones[$((($1 - 1) % 3))]}
region: sicily
listeners:
  callers: 127.0.0.$((10 + $1)):8080
  peers: 127.0.0.$((10 + $1)):8081
  operators: 127.0.0.$((10 + $1)):8082
platform:
  address: $platform
  calls_per_second: 40
seeds: ["127.0.0.11:8081", "127.0.0.12:8081"]
peer_secret: demo-peers
log: {level: ${log_level:-info}}
trace: {file: $dir/traces.jsonl}
traffic: {drain_timeout_seconds: 20}
Y
}

start_instance() { start_process "entry-$1" "$router" serve --settings "$dir/entry-$1.yaml"; }

instance_ready() { curl -sf -m 2 "http://127.0.0.$((10 + $1)):8082/readyz"; }

start_engine() { # I VERSION [FLAGS...]
  local i=$1 version=$2
  shift 2
  start_process "engine-$i" "$standin" engine --address "127.0.0.$((30 + i)):9001" \
    --name "engine-$i" --version "$version" "$@"
}

cluster_start() { # DIR
  dir=$1
  mkdir -p "$dir"
  local instance_names="" i
  for ((i = 1; i <= instances; i++)); do instance_names+="${instance_names:+,}entry-$i"; done
  start_process platform "$standin" platform --address "$platform" --instances "$instance_names"
  for i in 1 2 3 4; do start_engine "$i" "$([ "$i" -lt 4 ] && echo v1 || echo v2)" ${engine_flags:-}; done
  start_process service "$standin" service --address "$service"
  wait_until 5 curl -sf -m 1 "http://$platform/instances"
  "$router" apply --platform "$platform" --routes "${routes:-$root/examples/demo/routes.yaml}" \
    --pools "${pools:-$root/examples/demo/pools.yaml}" >"$dir/apply.out"
  key_reef=$("$router" keys issue --platform "$platform" --team reef --name demo 2>/dev/null)
  key_dune=$("$router" keys issue --platform "$platform" --team dune --name demo 2>/dev/null)
  for ((i = 1; i <= instances; i++)); do
    write_settings "$i"
    if declare -F cluster_settings_hook >/dev/null; then cluster_settings_hook "$i"; fi
    start_instance "$i"
  done
  for ((i = 1; i <= instances; i++)); do wait_until 10 instance_ready "$i" || return 1; done
  # Requests are only served while every team's limit has an owner. Confirming the first owners
  # takes a moment.
  wait_until 15 limits_have_owners || return 1
  for ((i = 1; i <= instances; i++)); do wait_until 10 entry_list_is_complete "$i" || return 1; done
}

entry_list_is_complete() { # I
  curl -sf -m 2 -H "Authorization: Bearer $key_reef" "http://127.0.0.$((10 + $1)):8080/v1/entry" |
    jq -e --argjson n "$instances" '(.entries | length) == $n'
}

limits_have_owners() {
  curl -sf -m 2 http://127.0.0.11:8082/status |
    jq -e --argjson n "$instances" '(.limit_owners | length > 0 and all(. != ""))
      and ([.members[] | select(.state == "alive")] | length == $n)'
}

cluster_stop() {
  local name pid
  local stopped_pids=()
  for name in "${!pids[@]}"; do
    stopped_pids+=("${pids[$name]}")
    case $name in
    entry-*) stop_process "$name" KILL ;;
    *) stop_process "$name" TERM ;;
    esac
  done
  for pid in "${stopped_pids[@]}"; do wait_for_exit "$pid" 10 || kill -KILL "$pid" 2>/dev/null || true; done
}

# Prints a prompt of about 5 cache blocks of 4,000 tokens, as a repeated letter.
long_prompt() { head -c 80000 /dev/zero | tr '\0' "${1:-x}"; }

chat_body() { # MODEL QUESTION STREAM [PROMPT-LETTER]
  printf '{"model":"%s","stream":%s,"max_tokens":%s,"messages":[{"role":"system","content":"%s"},{"role":"user","content":"%s"}]}' \
    "$1" "$3" "${max_tokens:-12}" "$(long_prompt "${4:-x}")" "$2"
}

chat() { # INSTANCE KEY BODY-FILE [CURL-FLAGS...]
  local i=$1 key=$2 body=$3
  shift 3
  curl -s -m 30 "$@" -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    --data-binary "@$body" "http://127.0.0.$((10 + i)):8080/v1/chat/completions"
}
