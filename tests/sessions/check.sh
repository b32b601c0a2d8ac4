# The check verb: a table with five faults names all of them by line; the examples have none; exit
# statuses and help of every verb.
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
for place in palermo brkovina demo; do
  echo "$place: $("$router" check --routes "$root/examples/$place/routes.yaml" --pools "$root/examples/$place/pools.yaml")"
done
"$router" check --routes "$root/examples/palermo/routes.yaml" --pools "$root/examples/brkovina/pools.yaml" | sed "s#$root/##"
for verb in serve check apply status keys version help; do
  "$router" "$verb" --help >/dev/null && echo "$verb has help"
done
"$router" nonsense 2>/dev/null
echo "an unknown verb: status $?"
"$router" check 2>/dev/null
echo "nothing to check: status $?"
"$router" apply --platform 127.0.0.9:9 --routes "$root/examples/demo/routes.yaml" 2>/dev/null
echo "no platform: status $?"
