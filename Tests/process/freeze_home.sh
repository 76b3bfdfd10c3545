#!/usr/bin/env bash
# Guards against a home that acts on old knowledge after a pause: another
# instance has served its groups meanwhile.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 2 3
start_load 12 --rate=200 --write-percent=40
sleep 3
home=$(home_of g1)
kill -STOP "${PID[$home]}"
say "stopped the home $home"
sleep 5
kill -CONT "${PID[$home]}"
say "let $home go on"
finish_load
gap_below 18000
