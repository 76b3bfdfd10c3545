#!/usr/bin/env bash
# Guards against a home that acts on stale state after its process was paused,
# while another instance took over its groups. The home of a group is the
# instance that owns the group's queue.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 2 3
start_load 12 --rate=200 --write-percent=40
sleep 3
home=$(home_of g1)
kill -STOP "${PID[$home]}"
say "paused the home $home"
sleep 5
kill -CONT "${PID[$home]}"
say "resumed $home"
finish_load
check_write_gaps_below 18000
