#!/usr/bin/env bash
# Guards against commands of the operators' client that work on files but not
# with a running instance.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

client() {
  "$BUILD/Source/programs/heatherwick" "--instance=${ADDRESS[p1]}" "$@"
}

# prints PATTERN COMMAND...: the command succeeds and prints the pattern.
prints() {
  local pattern=$1 output
  shift
  output=$(client "$@" 2>&1) || fail "heatherwick $* ended with $?: $output"
  grep -qE -e "$pattern" <<<"$output" ||
    fail "heatherwick $* lacks /$pattern/: $output"
}

# ends_with CODE COMMAND...
ends_with() {
  local expected=$1 code=0
  shift
  client "$@" >/dev/null 2>&1 || code=$?
  [ "$code" = "$expected" ] || fail "heatherwick $* ended with $code"
}

all_alive() { [ "$(client instances | grep -c ' alive ')" = 3 ]; }

start_ready_cluster 1 3
prints '^p2 .*in_force' sheet wait 1 --limit=10s
wait_until 10 all_alive
request=(--caller=shop --group=g1)
prints '^g1 .*g1a .*primary' groups
prints '^1 .*planner' sheet history
prints '^home: p[123]' explain "${request[@]}" --read-kind=browse read 'GET k'
prints '^done' execute "${request[@]}" --key=k1 \
  "--token-file=$WORK/token" write 'PUT k 7'
prints '^done +7' execute "${request[@]}" --read-kind=browse \
  "--token-file=$WORK/token" read 'GET k'
prints '^done' resolve "${request[@]}" --key=k1
ends_with 1 resolve "${request[@]}" --key=never_sent
ends_with 1 execute "${request[@]}" --key=never_sent write 'PUT k 8'
prints '^counters/requests/done' stats

"$BUILD/Source/programs/heatherwick" "--instance=${ADDRESS[p3]}" drain
code=0
wait "${PID[p3]}" || code=$?
unset "PID[p3]"
[ "$code" = 0 ] || fail "the drained instance ended with $code"
