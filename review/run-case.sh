#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER CASE. The stand-ins write the settings of the nodes; this script starts a process of the system for
# each of them with the command of the deploy file, starts it again after a second if it ends, and ends all processes that it started.
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
[ -x target/jujubepier ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
supervisors=()
standin=
# supervise NAME runs the process of a node; NAME.pid has its process id.
supervise() {
  trap 'exit 0' TERM
  while [ ! -e "$work/stop" ]; do
    JUJUBEPIER_BOOT=$work/$1.yaml target/jujubepier serve >>"${LOGS:-$work}/$1.log" 2>&1 &
    echo $! >"$work/$1.pid"
    wait $!
    rm -f "$work/$1.pid"
    sleep 1
  done
}
finish() {
  exec 2>/dev/null
  touch "$work/stop"
  kill -TERM "${supervisors[@]}"
  for file in "$work"/*.pid; do [ -e "$file" ] && kill -KILL "$(cat "$file")"; done
  kill -KILL $standin
  wait
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
TROUBLE=${TROUBLE:-1} target/review-standin "$2" "$work" "$folder/record.txt" &
standin=$!
for _ in $(seq 100); do
  [ -e "$work/start" ] && break
  sleep 0.1
done
[ -e "$work/start" ] || exit 2
for settings in "$work"/*.yaml; do
  supervise "$(basename "$settings" .yaml)" &
  supervisors+=($!)
done
wait "$standin"
code=$?
standin=
[ "$code" -le 1 ] || code=2
exit "$code"
