#!/usr/bin/env bash
# Prints memory and processor time of idle processes: an agent, and entries
# with 1 to 8 threads, with the records of example/coteau.
# Usage: idle.sh BUILD [SECONDS]
set -eu

build=$1
seconds=${2:-10}
work=$(mktemp -d)
pids=()

stop_all () {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# Replaces the addresses of the example by ones derived from this process id.
prefix=127.$((64 + $$ % 128))
rewrite_addresses () { sed "s/127\.10\./$prefix./g" "$1" >"$2"; }

mkdir "$work/records"
for record in example/coteau/records/*.json; do
  rewrite_addresses "$record" "$work/records/$(basename "$record")"
done

start_daemon () {
  "$build/packages/daemon/galenaford" --settings "$work/$1.ini" \
    2>"$work/$1.log" &
  pids+=($!)
}

"$build/test/standins/standin-platform" "$prefix.0.1:8500" "$work/records" \
  >"$work/platform.log" 2>&1 &
pids+=($!)
sleep 1
rewrite_addresses example/coteau/settings/agent-desk-1.ini "$work/agent.ini"
start_daemon agent
for threads in 1 2 4 8; do
  rewrite_addresses example/coteau/settings/entry-1.ini "$work/entry-$threads.ini"
  sed -i "s/^address = $prefix\.[0-9.]*:/address = $prefix.9.$threads:/" \
    "$work/entry-$threads.ini"
  sed -i "/^\[entry\]/a threads = $threads" "$work/entry-$threads.ini"
  start_daemon "entry-$threads"
done

# Prints the processor time that a process has used, in microseconds.
cpu_us () {
  awk '{ sum += $1 } END { print int (sum / 1000) }' /proc/"$1"/task/*/schedstat
}

sleep 2
before=()
for pid in "${pids[@]:1}"; do before+=("$(cpu_us "$pid")"); done
sleep "$seconds"
names=(agent entry-1 entry-2 entry-4 entry-8)
for i in "${!names[@]}"; do
  pid=${pids[i + 1]}
  if ! kill -0 "$pid" 2>/dev/null; then
    echo "idle: process=${names[i]} not run:"
    cat "$work/${names[i]}.log"
    exit 1
  fi
  resident=$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status")
  private=$(awk '/^RssAnon/ { print $2 }' "/proc/$pid/status")
  used=$(($(cpu_us "$pid") - before[i]))
  echo "idle: process=${names[i]} resident_kb=$resident private_kb=$private" \
    "cpu_us_per_s=$((used / seconds))"
done
