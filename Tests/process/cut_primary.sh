#!/usr/bin/env bash
# Guards against writes that are acknowledged although only a primary cut off
# from its replicas holds them, and against a promotion that loses acknowledged
# writes. The primary is cut off twice: first from its replicas only, then from
# the proxies too.
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

# cut_off TRUE_OR_FALSE: cuts the primary off from its replicas and, with true,
# from the proxies as well.
cut_off() {
  set_target_faults "$primary" "{\"cut_from\":[$cut],\"cut_from_proxies\":$1}"
  set_target_faults "${others[0]}" "{\"cut_from\":[\"$primary\"]}"
  set_target_faults "${others[1]}" "{\"cut_from\":[\"$primary\"]}"
}

heal() {
  local target
  for target in "$primary" "${others[@]}"; do
    set_target_faults "$target" '{}'
  done
}

cut_off false
say "cut $primary off from its replicas"
sleep 5
[ "$(primary_of g1)" != "$primary" ] ||
  fail "$primary is still the primary although it is cut off from its replicas"
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
say "cut $primary off from its replicas and the proxies"
sleep 5
heal
say "healed"
finish_load
check_write_gaps_below 18000
[ "$(primary_of g1)" != "$primary" ] || fail "$primary was never replaced"
