# The check command reports all errors of a table and of a configuration with file, line and field, and none for the
# examples and a clean configuration. It shows what a new configuration changes, prints no key, and its exit status tells
# findings from a check that could not run. Also covers the help of every command.
. "$(dirname "$0")/../../scripts/lib/cluster.sh"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/routes.yaml" <<'Y'
teams:
  - {name: reef, rate: -5, burst: 10}
  - {name: reef, rate: 5, burst: 10}
routes:
  - name: terms
    model: terms
    poool: engines
    pool: engines
    teams: [reef, dune]
    idempotent: perhaps
Y
cd "$work"
"$router" check --routes routes.yaml
echo "status $?"
"$router" check --routes routes.yaml --format json | jq -c '[.[].line]'
for example in palermo brkovina demo; do
  echo "$example: $("$router" check --routes "$root/examples/$example/routes.yaml" --pools "$root/examples/$example/pools.yaml")"
done
"$router" check --routes "$root/examples/palermo/routes.yaml" --pools "$root/examples/brkovina/pools.yaml" | sed "s#$root/##"
cat >before.json <<'J'
{"version": 7,
 "routes": [
  {"name": "ask", "host": "a.example", "path_prefix": "/ask/", "kind": "streaming", "service": "llm",
   "timeout_ms": 5000, "target_latency_ms": 500, "max_attempts": 2}],
 "services": [{"name": "llm", "engine": {"slots": 64, "kv_capacity_tokens": 128332}}],
 "tenants": [
  {"name": "reef", "api_keys": ["sk-reef-1", "sk-reef-2"], "unit": "tokens", "rate_per_s": 9000, "burst": 90000}]}
J
cat >after.json <<'J'
{"version": 8,
 "routes": [
  {"name": "order", "host": "a.example", "path_prefix": "/ask/", "kind": "unsafe", "service": "app"},
  {"name": "ask", "host": "a.example", "path_prefix": "/ask/", "kind": "streaming", "service": "llm",
   "timeout_ms": 400, "target_latency_ms": 500, "max_attempts": 2}],
 "services": [{"name": "llm", "engine": {"slots": 64, "kv_capacity_tokens": 128332}}],
 "tenants": [
  {"name": "reef", "api_keys": ["sk-reef-2", "sk-reef-3"], "unit": "tokens", "rate_per_s": 9000, "burst": 90000},
  {"name": "dune", "api_keys": ["sk-reef-3"], "rate_pers": 10}]}
J
"$router" check --configuration before.json
echo "clean: status $?"
"$router" check --configuration after.json --in-force before.json
echo "findings: status $?"
"$router" check --configuration after.json --in-force before.json --json >report.json
echo "findings as JSON: status $?"
jq -c '.findings[] | [.file, .line, .column, .field]' report.json
jq -c '.differences[]' report.json
"$router" check --configuration before.json --in-force after.json >reverse.txt
echo "differences only: status $?"
echo "keys printed: $(cat report.json reverse.txt | grep -c sk-)"
mkdir folder
cp before.json folder/
cp "$root"/examples/demo/*.yaml folder/
"$router" check --configuration folder
echo "folder: status $?"
could_not_run() { # NAME ARGUMENTS...
  local name=$1
  shift
  "$router" check "$@" >out.txt 2>err.txt
  echo "$name: status $?, $(wc -l <out.txt) lines of output, $(wc -l <err.txt) of errors"
}
could_not_run "no such file" --configuration none.json
could_not_run "a folder as table" --routes folder
could_not_run "an unknown flag" --configuration before.json --inforce after.json
could_not_run "a flag without value" --configuration
could_not_run "two versions in force" --configuration before.json --in-force after.json --store 127.0.0.9:9
could_not_run "store not reachable" --configuration before.json --store 127.0.0.9:9
for command in serve check apply status keys version help; do
  "$router" "$command" --help >/dev/null && echo "$command has help"
done
"$router" nonsense 2>/dev/null
echo "an unknown verb: status $?"
"$router" check 2>/dev/null
echo "nothing to check: status $?"
"$router" apply --platform 127.0.0.9:9 --routes "$root/examples/demo/routes.yaml" 2>/dev/null
echo "no platform: status $?"
