#!/usr/bin/env bash
# Guards against two concurrent submissions that are both reported as accepted.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
version=1
for round in 1 2 3; do
  submit p1 "$version" anna "anna-$round" >"$WORK/anna" &
  anna=$!
  submit p2 "$version" bogdan "bogdan-$round" >"$WORK/bogdan" &
  bogdan=$!
  wait "$anna" "$bogdan"
  winners=$(cat "$WORK/anna" "$WORK/bogdan" | grep -c '"accepted":true')
  [ "$winners" = 1 ] || fail "$winners of two submissions were accepted"
  winner=$(grep -l '"accepted":true' "$WORK/anna" "$WORK/bogdan")
  loser=$(grep -l '"accepted":false' "$WORK/anna" "$WORK/bogdan")
  grep -q "\"submitted_by\":\"${winner##*/}\"" "$loser" ||
    fail "${loser##*/} was not told that ${winner##*/} won"
  version=$((version + 1))
  say "round $round: ${winner##*/} won with version $version"
  for proxy in "${PROXIES[@]}"; do
    wait_until 10 version_is "$proxy" "$version"
  done
done
