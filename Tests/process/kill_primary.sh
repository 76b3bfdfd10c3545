#!/usr/bin/env bash
# Guards against a failover that loses or repeats an acknowledged write, or
# that takes longer than its bound, when the primary's process is killed.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
start_load 10 --rate=200 --write-percent=50
sleep 3
primary=$(primary_of g1)
kill_now "$primary"
say "killed the primary $primary"
finish_load
check_write_gaps_below 18000
[ "$(primary_of g1)" != "" ] || fail "g1 has no primary"
