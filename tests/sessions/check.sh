# The check command reports all five errors of a table with their lines, and none for the examples.
# Also covers the help of every command and exit statuses.
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
for command in serve check apply status keys version help; do
  "$router" "$command" --help >/dev/null && echo "$command has help"
done
"$router" nonsense 2>/dev/null
echo "an unknown verb: status $?"
"$router" check 2>/dev/null
echo "nothing to check: status $?"
"$router" apply --platform 127.0.0.9:9 --routes "$root/examples/demo/routes.yaml" 2>/dev/null
echo "no platform: status $?"
