# shellcheck shell=bash
# Functions for the process tests, the demonstration and the measurements. They
# run a platform, proxies and groups of targets as processes on free ports of
# 127.0.0.1. On exit, they end only the processes that they started, by process
# id.
#
# A script that sources this file must set BUILD to the build directory first.
# If KEEP_LOGS is set, the processes' logs are copied to that directory on exit.

set -euo pipefail

WORK=$(mktemp -d)
declare -A PID       # Process id by name.
declare -A ADDRESS   # IP:port by name.
declare -A COMMAND   # Command line by name, to start it again.
PROXIES=()
CLUSTER_GROUPS=()
SLOTS=${SLOTS:-2}
CONNECTIONS=${CONNECTIONS:-16}
SHEET=$WORK/sheet.csv
LOAD=$BUILD/Source/programs/heatherwick-load

clean_up() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null || true
    kill -KILL "${PID[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS"
    cp "$WORK"/*.log "$KEEP_LOGS"
  fi
  rm -rf "$WORK"
}
trap clean_up EXIT

now_ms() { date +%s%3N; }

say() { echo "$(date +%T.%3N) $*"; }

fail() {
  echo "FAILED: $*" >&2
  local log
  for log in "$WORK"/*.log; do
    echo "--- ${log##*/}" >&2
    tail -n "${LOG_LINES:-15}" "$log" >&2
  done
  exit 1
}

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# choose_ports COUNT: sets FIRST_PORT to the first of COUNT consecutive free
# ports. They are taken from 20000 to 30000, below the range that the system
# uses for outgoing connections.
choose_ports() {
  local count=$1 port free
  for _ in $(seq 50); do
    FIRST_PORT=$((20000 + RANDOM % 10000))
    free=yes
    for ((port = FIRST_PORT; port < FIRST_PORT + count; ++port)); do
      port_is_free "$port" || { free=no; break; }
    done
    [ "$free" = no ] || return 0
  done
  fail "no free range of $count ports"
}

# start NAME COMMAND...: runs the command in the background under this name.
start() {
  local name=$1
  shift
  COMMAND[$name]=$*
  "$@" >>"$WORK/$name.log" 2>&1 &
  PID[$name]=$!
}

# start_again NAME: runs the command of that name again.
start_again() {
  # The commands hold no spaces within an argument.
  # shellcheck disable=SC2086
  start "$1" ${COMMAND[$1]}
}

# stop NAME: stops the process gracefully; fails if its exit code is not 0.
stop() {
  local code=0
  kill -TERM "${PID[$1]}"
  wait "${PID[$1]}" || code=$?
  unset "PID[$1]"
  [ "$code" = 0 ] || fail "$1 exited with $code"
}

# kill_now NAME: kills the process, without a graceful stop.
kill_now() {
  kill -KILL "${PID[$1]}"
  wait "${PID[$1]}" 2>/dev/null || true
  unset "PID[$1]"
}

# call ADDRESS METHOD JSON: sends a request and prints the JSON reply.
call() { "$BUILD/Tests/StandIns/standin-call" "$@"; }

# field NAME: prints the first value of that name in the JSON on stdin.
field() {
  grep -o "\"$1\":\(\"[^\"]*\"\|[a-z0-9]*\)" | head -n 1 |
    sed 's/^[^:]*://; s/^"//; s/"$//'
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# after SECONDS.
wait_until() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(now_ms)" -lt "$end" ] || fail "timed out waiting for: $*"
    sleep 0.05
  done
}

# start_cluster GROUPS PROXIES: starts the platform, groups g1, g2, ... with
# three targets each (g1a, g1b, g1c), and proxies p1, p2, ..., and writes the
# sheet.
start_cluster() {
  local groups=$1 proxies=$2 i group
  choose_ports $((1 + proxies + 3 * groups))
  local port=$FIRST_PORT instances=""
  ADDRESS[platform]=127.0.0.1:$port
  for ((i = 1; i <= proxies; ++i)); do
    ADDRESS[p$i]=127.0.0.1:$((++port))
    instances+="${instances:+,}p$i@${ADDRESS[p$i]}@dc$((i % 3 + 1))@home"
    PROXIES+=("p$i")
  done
  start platform "$BUILD/Tests/StandIns/standin-platform" \
    "--listen=${ADDRESS[platform]}" "--instances=$instances"
  for ((i = 1; i <= groups; ++i)); do
    start_group "g$i" "$port"
    port=$((port + 3))
  done
  for ((i = 1; i <= proxies; ++i)); do
    start "p$i" "$BUILD/Source/programs/heatherwickd" "--instance-id=p$i" \
      "--listen=${ADDRESS[p$i]}" --region=home "--data-centre=dc$((i % 3 + 1))" \
      "--platform=${ADDRESS[platform]}"
  done
  write_sheet
}

# start_group NAME PORT: starts three targets, on the three ports after PORT.
start_group() {
  local group=$1 port=$2 letter peers="" first=--primary-at-start
  CLUSTER_GROUPS+=("$group")
  for letter in a b c; do
    ADDRESS[$group$letter]=127.0.0.1:$((++port))
    peers+="${peers:+,}$group$letter@${ADDRESS[$group$letter]}"
  done
  for letter in a b c; do
    # shellcheck disable=SC2086
    start "$group$letter" "$BUILD/Tests/StandIns/standin-target" \
      "--id=$group$letter" "--listen=${ADDRESS[$group$letter]}" \
      "--peers=$peers" "--slots=$SLOTS" "--connections=$CONNECTIONS" $first
    first=
  done
}

# Writes a sheet with all groups to the file SHEET.
write_sheet() {
  local group letter dc
  {
    echo "record,name,group,region,data_centre,address,slots,connections,max_age,repeatable,share"
    for group in "${CLUSTER_GROUPS[@]}"; do
      echo "group,$group,,home,,,,,,,"
      dc=0
      for letter in a b c; do
        dc=$((dc + 1))
        echo "target,$group$letter,$group,,dc$dc,${ADDRESS[$group$letter]},$SLOTS,$CONNECTIONS,,,"
      done
    done
    echo "read,current,,,,,,,0s,,"
    echo "read,browse,,,,,,,2s,,"
    echo "request,order,,,,,,,,no,"
    echo "request,stock,,,,,,,,yes,"
    echo "caller,shop,,,,,,,,,2"
    echo "caller,depot,,,,,,,,,1"
    echo "caller,check,,,,,,,,,1"
  } >"$SHEET"
}

# submit PROXY BASE_VERSION OPERATOR [SUBMISSION]: submits the sheet and prints
# the JSON reply.
submit() {
  call "${ADDRESS[$1]}" Operator.SubmitSheet \
    "{\"content\":\"$(base64 -w0 "$SHEET")\",\"base_version\":$2,\"submitted_by\":\"$3\",\"submission\":\"${4:-}\"}"
}

# is_accepted takes the arguments of submit; succeeds if the sheet is accepted.
is_accepted() { submit "$@" | grep -q '"accepted":true'; }

sheet_version() {
  call "${ADDRESS[$1]}" Operator.ListMembers '{}' | field sheet_version
}

# version_is PROXY VERSION: succeeds if the proxy has this sheet version.
version_is() { [ "$(sheet_version "$1")" = "$2" ]; }

# read_through PROXY GROUP KIND STATEMENT [TOKEN]: sends a read and prints the
# JSON reply.
read_through() {
  call "${ADDRESS[$1]}" Proxy.Execute \
    "{\"caller\":\"check\",\"group\":\"$2\",\"operation\":\"READ\",\"read_kind\":\"$3\",\"statement\":\"$4\",\"token\":\"${5:-}\"}"
}

# write_through PROXY GROUP KEY STATEMENT: sends a write and prints the JSON
# reply.
write_through() {
  call "${ADDRESS[$1]}" Proxy.Execute \
    "{\"caller\":\"check\",\"group\":\"$2\",\"operation\":\"WRITE\",\"request_kind\":\"order\",\"request_key\":\"$3\",\"statement\":\"$4\"}"
}

# is_done COMMAND...: succeeds if the reply that the command prints is DONE.
is_done() { "$@" | grep -q '"outcome":"DONE"'; }

# Starts a cluster, submits its sheet and waits until every proxy serves
# every group.
start_ready_cluster() {
  start_cluster "$@"
  wait_until 10 is_accepted p1 0 planner
  local proxy group
  for proxy in "${PROXIES[@]}"; do
    for group in "${CLUSTER_GROUPS[@]}"; do
      wait_until 15 is_done read_through "$proxy" "$group" current "GET ready"
    done
  done
}

# home_of GROUP [PROXY]: prints the instance that owns the group's queue, as
# PROXY (default p1) knows it.
home_of() {
  call "${ADDRESS[${2:-p1}]}" Operator.ListGroups "{\"group\":\"$1\"}" |
    field home
}

is_primary() {
  call "${ADDRESS[$1]}" Target.Status '{}' | grep -q '"primary":true'
}

# primary_of GROUP: prints the target that reports itself as primary with the
# highest term, or nothing if there is none.
primary_of() {
  local letter status best=0 term primary=""
  for letter in a b c; do
    [ -n "${PID[$1$letter]:-}" ] || continue
    status=$(timeout 1 "$BUILD/Tests/StandIns/standin-call" \
      "${ADDRESS[$1$letter]}" Target.Status '{}') || continue
    term=$(field term <<<"$status")
    if grep -q '"primary":true' <<<"$status" && [ "$term" -gt "$best" ]; then
      best=$term
      primary=$1$letter
    fi
  done
  echo "$primary"
}

# set_target_faults TARGET JSON: makes the stand-in of the target inject faults.
set_target_faults() {
  call "${ADDRESS[$1]}" TargetStandIn.SetFaults "$2" >/dev/null
}

# set_store_faults JSON: makes the platform's stand-in inject these faults into
# its store.
set_store_faults() {
  call "${ADDRESS[platform]}" PlatformStandIn.SetFaults "$1" >/dev/null
}

join_by_comma() { local IFS=,; echo "$*"; }

# start_load SECONDS [FLAG...]: starts heatherwick-load against all proxies.
start_load() {
  local seconds=$1 proxy addresses=()
  shift
  for proxy in "${PROXIES[@]}"; do
    addresses+=("${ADDRESS[$proxy]}")
  done
  start load "$LOAD" run "--proxies=$(join_by_comma "${addresses[@]}")" \
    "--groups=$(join_by_comma "${CLUSTER_GROUPS[@]}")" \
    --callers=shop:2,depot:1 "--duration=${seconds}s" \
    "--json=$WORK/load.json" "--seed=${SEED:-1}" "$@"
}

# Fails if a process has exited that no function here has ended.
check_all_alive() {
  local name
  for name in "${!PID[@]}"; do
    kill -0 "${PID[$name]}" 2>/dev/null || fail "$name exited unexpectedly"
  done
}

# Waits for the load to end; fails if it found a violation or if another process
# has exited unexpectedly.
finish_load() {
  local code=0
  wait "${PID[load]}" || code=$?
  unset "PID[load]"
  grep -v '^progress' "$WORK/load.log" || true
  [ "$code" = 0 ] || fail "heatherwick-load exited with $code"
  check_all_alive
}

# check_write_gaps_below MS: fails if the longest gap between acknowledged
# writes of any group is MS or more.
check_write_gaps_below() {
  local gap
  while read -r gap; do
    [ "$gap" -lt "$1" ] || fail "a write gap of $gap ms is not below $1 ms"
  done < <(grep -o 'longest_ms=[0-9]*' "$WORK/load.log" | cut -d= -f2)
}

# error_count KIND: prints how many requests of the load failed with this kind
# of error.
error_count() {
  { grep "^error kind=$1 " "$WORK/load.log" || echo count=0; } |
    sed 's/.*count=\([0-9]*\).*/\1/'
}
