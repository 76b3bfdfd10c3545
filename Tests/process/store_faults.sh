#!/usr/bin/env bash
# Guards against a sheet that is lost, accepted twice or falsely reported
# when the store is down, slow, or loses its answer, and against a service
# that needs the store.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
start_load 14 --rate=100
store_faults '{"down":true}'
reply=$(submit p1 1 planner)
grep -q '"accepted":false' <<<"$reply" || fail "accepted without a store"
[ -n "$(field error_message <<<"$reply")" ] || fail "no error message"
say "store down: $(field error_message <<<"$reply")"
version_is p1 1 || fail "the version changed while the store was down"
store_faults '{"delay_ms":300}'
sleep 1
accepted p2 1 planner slow || fail "a slow store must not fail a submission"
say "store slow: accepted"
store_faults '{"lose_answers":1}'
reply=$(submit p3 2 planner lost)
grep -q '"accepted":true' <<<"$reply" ||
  fail "the submission was written but reported as not accepted: $reply"
say "answer lost: accepted"
for proxy in "${PROXIES[@]}"; do
  wait_until 10 version_is "$proxy" 3
done
finish_load
