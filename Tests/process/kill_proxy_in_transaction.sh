#!/usr/bin/env bash
# Guards against a transaction that is partly applied, or that continues, after
# the proxy that ran it was killed.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

# begin PROXY: begins a transaction and prints its handle.
begin() {
  call "${ADDRESS[$1]}" Proxy.Execute \
    '{"caller":"check","group":"g1","operation":"BEGIN"}' | field transaction
}

# step PROXY TRANSACTION OPERATION STATEMENT KEY: sends one request of the
# transaction and prints the JSON reply.
step() {
  call "${ADDRESS[$1]}" Proxy.Execute \
    "{\"caller\":\"check\",\"group\":\"g1\",\"operation\":\"$3\",\"transaction\":\"$2\",\"statement\":\"$4\",\"request_key\":\"$5\"}"
}

start_ready_cluster 1 3
start_load 10 --rate=150 --write-percent=20 --transaction-percent=50
sleep 2
victim=$(home_of g1)
other=p1
[ "$victim" != p1 ] || other=p2
transaction=$(begin "$other")
[ -n "$transaction" ] || fail "BEGIN returned no transaction"
is_done step "$other" "$transaction" WRITE "PUT half done" "" ||
  fail "the first write of the transaction was not done"
kill_now "$victim"
say "killed the home $victim"
if is_done step "$other" "$transaction" COMMIT "" half-commit; then
  fail "COMMIT was acknowledged although the transaction is gone"
fi
wait_until 10 is_done read_through "$other" g1 current "GET half"
left=$(read_through "$other" g1 current "GET half" | field result)
[ -z "$left" ] || fail "the aborted transaction left '$left' behind"
sleep 1
start_again "$victim"
finish_load
