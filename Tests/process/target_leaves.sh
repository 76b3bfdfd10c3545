#!/usr/bin/env bash
# Guards against new statements on a target that has announced that it leaves,
# and against requests that fail because of its leaving.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
start_load 10 --rate=150 --write-percent=20
sleep 2
primary=$(primary_of g1)
leaving=g1b
[ "$primary" != g1b ] || leaving=g1c
set_target_faults "$leaving" '{"leaving":true}'
say "$leaving announces that it leaves"
sleep 2.5
for _ in $(seq 40); do
  served=$(read_through p2 g1 browse "GET x" | field served_by)
  [ "$served" != "$leaving" ] || fail "$leaving got a read after 2.5 s"
done
busy=$(call "${ADDRESS[$leaving]}" Target.Status '{}' | field busy_slots)
[ "$busy" = 0 ] || fail "$leaving still runs $busy statements"
finish_load
