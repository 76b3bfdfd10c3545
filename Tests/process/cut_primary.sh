#!/usr/bin/env bash
# Guards against acknowledged writes that only a cut-off primary holds, and
# against a promotion that forgets acknowledged writes.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
start_load 16 --rate=150 --write-percent=40
sleep 2
primary=$(primary_of g1)
others=()
for letter in a b c; do
  [ "g1$letter" = "$primary" ] || others+=("g1$letter")
done
cut="\"${others[0]}\",\"${others[1]}\""

cut_off() {  # TRUE when the proxies lose the primary too
  faults "$primary" "{\"cut_from\":[$cut],\"cut_from_proxies\":$1}"
  faults "${others[0]}" "{\"cut_from\":[\"$primary\"]}"
  faults "${others[1]}" "{\"cut_from\":[\"$primary\"]}"
}

heal() {
  local target
  for target in "$primary" "${others[@]}"; do
    faults "$target" '{}'
  done
}

cut_off false
say "cut $primary from its replicas"
sleep 5
[ "$(primary_of g1)" != "$primary" ] ||
  fail "$primary still leads although no replica hears it"
heal
say "healed"
sleep 2
primary=$(primary_of g1)
others=()
for letter in a b c; do
  [ "g1$letter" = "$primary" ] || others+=("g1$letter")
done
cut="\"${others[0]}\",\"${others[1]}\""
cut_off true
say "cut $primary from everything"
sleep 5
heal
say "healed"
finish_load
gap_below 18000
[ "$(primary_of g1)" != "$primary" ] || fail "$primary was never replaced"
