#!/usr/bin/env bash
# Guards against a replaced primary that wakes up and whose writes or reads
# are then acknowledged.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
start_load 12 --rate=200 --write-percent=40
sleep 3
primary=$(primary_of g1)
kill -STOP "${PID[$primary]}"
say "stopped the primary $primary"
sleep 5
kill -CONT "${PID[$primary]}"
say "let $primary go on"
finish_load
gap_below 18000
[ "$(primary_of g1)" != "$primary" ] || fail "$primary was never replaced"
