#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER CASE. The stand-ins write the settings of the nodes; this script starts a process of the system for
# each of them with the command of the deploy file, and ends all processes that it started.
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
[ -x target/jujubepier ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
nodes=()
standin=
finish() {
  exec 2>/dev/null
  for pid in "${nodes[@]}" $standin; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
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
  JUJUBEPIER_BOOT=$settings target/jujubepier serve >"${LOGS:-$work}/$(basename "$settings" .yaml).log" 2>&1 &
  nodes+=($!)
done
wait "$standin"
code=$?
standin=
[ "$code" -le 1 ] || code=2
exit "$code"
