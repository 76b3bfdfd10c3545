#!/usr/bin/env bash
# Guards against acknowledged writes or reads of a primary that was replaced
# while its process was paused and that has resumed.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
start_load 12 --rate=200 --write-percent=40
sleep 3
primary=$(primary_of g1)
kill -STOP "${PID[$primary]}"
say "paused the primary $primary"
sleep 5
kill -CONT "${PID[$primary]}"
say "resumed $primary"
finish_load
check_write_gaps_below 18000
[ "$(primary_of g1)" != "$primary" ] || fail "$primary was never replaced"
