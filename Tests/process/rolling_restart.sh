#!/usr/bin/env bash
# Guards against a graceful stop that breaks off requests in flight, and against
# violations of the guarantees while every proxy is restarted under load.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 2 3
start_load 22 --rate=150 --write-percent=30
sleep 2
for proxy in "${PROXIES[@]}"; do
  started=$(now_ms)
  stop "$proxy"
  say "$proxy stopped in $(($(now_ms) - started)) ms"
  start_again "$proxy"
  wait_until 15 is_done read_through "$proxy" g1 current "GET ready"
  sleep 1
done
finish_load
[ "$(error_count transport)" = 0 ] ||
  fail "$(error_count transport) requests failed with a transport error"
