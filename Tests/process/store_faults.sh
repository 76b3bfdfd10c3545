#!/usr/bin/env bash
# Guards against a submitted sheet that is lost, accepted twice or reported
# with a wrong outcome when the store is down, is slow or loses its reply, and
# against requests that fail because the store is unavailable.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

start_ready_cluster 1 3
start_load 14 --rate=100
set_store_faults '{"down":true}'
reply=$(submit p1 1 planner)
grep -q '"accepted":false' <<<"$reply" ||
  fail "a sheet was accepted while the store was down"
[ -n "$(field error_message <<<"$reply")" ] ||
  fail "the refused submission has no error message"
say "store down: $(field error_message <<<"$reply")"
version_is p1 1 || fail "the version changed while the store was down"
set_store_faults '{"delay_ms":300}'
sleep 1
is_accepted p2 1 planner slow || fail "a slow store must not fail a submission"
say "store slow: accepted"
set_store_faults '{"lose_answers":1}'
reply=$(submit p3 2 planner lost)
grep -q '"accepted":true' <<<"$reply" ||
  fail "the submission was written but reported as not accepted: $reply"
say "store reply lost: accepted"
for proxy in "${PROXIES[@]}"; do
  wait_until 10 version_is "$proxy" 3
done
finish_load
