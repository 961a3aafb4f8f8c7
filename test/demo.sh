#!/usr/bin/env bash
# Runs a deployment of example/ on loopback for about 20 seconds under steady
# load of every kind, while an entry is killed and replaced, an upstream is
# drained and a record is published.  Fails if an answer is wrong, a
# non-idempotent request runs twice, a request runs at another service, or a
# flow breaks.
# Usage: demo.sh BUILD DEPLOYMENT [SECONDS]
# FAULTS=FILE names a file of lines "SECOND SIGNAL PROCESS": further signals to
# send, and when.  Flows may then break, as a flow ends with its agent.
set -eu

build=$1
deployment=example/$2
seconds=${3:-20}
work=$(mktemp -d)
pids=()

stop_all () {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# Starts a program in the background; its output goes to NAME.log and its
# process id to NAME.pid.
start () {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$work/$name.pid"
}

start_daemon () {
  start "$1" "$build/packages/daemon/galenaford" \
    --settings "$deployment/settings/$1.ini"
}

# Publishes the record of service $1, edited by the sed script $2, with the
# next generation.
publish () {
  local record=$work/records/$1.json
  local generation
  generation=$(sed -n 's/.*"generation": \([0-9]*\).*/\1/p' "$record")
  sed -e "$2" -e "s/\"generation\": $generation/\"generation\": $((generation + 1))/" \
    "$record" >"$record.new"
  mv "$record.new" "$record"
}

# Sends the signals listed in the file $1.
inject_faults () {
  local started=$SECONDS
  local second signal name
  while read -r second signal name; do
    while [ $((SECONDS - started)) -lt "$second" ]; do sleep 0.2; done
    kill "-$signal" "$(cat "$work/$name.pid")" || true
    echo "demo: $signal to $name after $second s"
  done <"$1"
}

cp -r "$deployment/records" "$work/records"
entries=()
while read -r what name address service slots run_ms; do
  case $what in
    platform) start platform "$build/test/standins/standin-platform" \
                "$name" "$work/records" ;;
    fabric) fabric=$name ;;
    caller) caller=$name ;;
    upstream)
      start "$name" "$build/test/standins/standin-upstream" "$address" \
        "$service" "$slots" "$run_ms" "$work/executions"
      start_daemon "agent-$name" ;;
    entry)
      start_daemon "$name"
      entry_pid=$!
      entry_name=$name
      entries+=("$address") ;;
  esac
done <"$deployment/demo.plan"
start fabric "$build/test/standins/standin-fabric" "$fabric" "${entries[@]}"
sleep 1.5

"$build/test/standins/standin-caller" "$caller" "$fabric" "$seconds" \
  "$deployment/demo.load" >"$work/report" &
caller_pid=$!
pids+=("$caller_pid")
if [ -n "${FAULTS:-}" ]; then
  inject_faults "$FAULTS" &
  pids+=($!)
fi

sleep $((seconds / 4))
kill -KILL "$entry_pid"
echo "demo: killed $entry_name"
sleep 2
start_daemon "$entry_name"
echo "demo: replaced $entry_name"
sleep $((seconds / 5))
service=$(basename "$(ls "$work"/records/*.json | tail -1)" .json)
publish "$service" '0,/"state": "active"/s//"state": "leaving"/'
echo "demo: draining the first upstream of $service"
sleep $((seconds / 5))
publish "$service" 's/"deadline_ms": 10000/"deadline_ms": 12000/'
echo "demo: published a record of $service"

failed=0
wait "$caller_pid" || failed=1
cat "$work/report"
# doubled: requests that are not idempotent and ran more than once.
# misrouted: executions at an upstream of another service than the request's.
doubled=$(awk '{ print $2 }' "$work/executions" | grep ':once:' | sort | uniq -d | wc -l)
misrouted=$(awk '{ split ($2, part, ":"); if (part[3] ":" part[4] != $1) n++ } END { print n + 0 }' "$work/executions")
totals=$(sed -n 's/^caller: \(requests=.*\) wrong=.*/\1/p' "$work/report")
broken=$(sed -n 's/.* reopened=\([0-9]*\).*/\1/p' "$work/report")
if [ -n "${DEMO_LOGS:-}" ]; then cat "$work"/*.log; fi
echo "demo: $totals doubled=$doubled misrouted=$misrouted broken_flows=$broken"
if [ -n "${FAULTS:-}" ]; then broken=0; fi
[ "$failed$doubled$misrouted$broken" = 0000 ]
