#!/usr/bin/env bash
# Guards against commands of the operators' client that pass the tests on files
# alone but fail with a running instance.
BUILD=${1:?build directory}
. "$(dirname "$0")/cluster.sh"

client() {
  "$BUILD/Source/programs/heatherwick" "--instance=${ADDRESS[p1]}" "$@"
}

# expect_output PATTERN COMMAND...: fails unless the command succeeds and its
# output matches the pattern.
expect_output() {
  local pattern=$1 output
  shift
  output=$(client "$@" 2>&1) || fail "heatherwick $* exited with $?: $output"
  grep -qE -e "$pattern" <<<"$output" ||
    fail "output of heatherwick $* does not match /$pattern/: $output"
}

# expect_exit_code CODE COMMAND...: fails unless the command exits with CODE.
expect_exit_code() {
  local expected=$1 code=0
  shift
  client "$@" >/dev/null 2>&1 || code=$?
  [ "$code" = "$expected" ] ||
    fail "heatherwick $* exited with $code instead of $expected"
}

all_instances_alive() { [ "$(client instances | grep -c ' alive ')" = 3 ]; }

start_ready_cluster 1 3
# "sheet wait" waits for the instances that the asked one knows.
wait_until 10 all_instances_alive
expect_output '^p2 .*in_force' sheet wait 1 --limit=10s
request=(--caller=shop --group=g1)
expect_output '^g1 .*g1a .*primary' groups
expect_output '^1 .*planner' sheet history
expect_output '^home: p[123]' explain "${request[@]}" --read-kind=browse \
  read 'GET k'
expect_output '^done' execute "${request[@]}" --key=k1 \
  "--token-file=$WORK/token" write 'PUT k 7'
expect_output '^done +7' execute "${request[@]}" --read-kind=browse \
  "--token-file=$WORK/token" read 'GET k'
expect_output '^done' resolve "${request[@]}" --key=k1
expect_exit_code 1 resolve "${request[@]}" --key=never_sent
expect_exit_code 1 execute "${request[@]}" --key=never_sent write 'PUT k 8'
expect_output '^counters/requests/done' stats

"$BUILD/Source/programs/heatherwick" "--instance=${ADDRESS[p3]}" drain
code=0
wait "${PID[p3]}" || code=$?
unset "PID[p3]"
[ "$code" = 0 ] || fail "the drained instance exited with $code"
