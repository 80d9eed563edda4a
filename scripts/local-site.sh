#!/usr/bin/env bash
# Starts a site of separate processes on loopback: log, instance list, weight store, 10 model engines, 2 servers of the
# plain service, a scorer and N entry instances (3 when not given). Publishes the example document, prints the addresses
# and runs until Ctrl-C, which ends each process that it started.
#
#   scripts/local-site.sh [N]
#
# BASE_PORT (17400) is the first of the about 60 ports that it uses, and SITE_LOGS (a new temporary directory) is where
# the processes' log lines go.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${1:-3}
if ! [[ $entries =~ ^[1-9]$ ]]; then
  echo "usage: scripts/local-site.sh [N]   (N entry instances, 1 to 9)" >&2
  exit 2
fi
base=${BASE_PORT:-17400}
logs=${SITE_LOGS:-$(mktemp -d)}
mkdir -p "$logs" bin

pids=()
stop() {
  trap - EXIT INT TERM
  # A graceful shutdown of an entry instance waits until the address responses that name it have expired. This isn't
  # necessary here, so processes that are still running after 2 s get SIGKILL.
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 20); do
    alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT
trap 'stop; exit 0' INT TERM

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

for program in entry:jujubepier ctl:jujubectl standin:jujubestandin load:jujubeload; do
  go build -o "bin/${program#*:}" "./${program%%:*}"
done

log=127.0.0.1:$base
list=127.0.0.1:$((base + 1))
store=127.0.0.1:$((base + 2))
zones=(suva-a suva-b nadi-a lautoka-a)
start log bin/jujubestandin log --listen "$log"
start list bin/jujubestandin list --listen "$list"
start store bin/jujubestandin store --listen "$store" --weight-bytes 1073741824
for i in $(seq 0 9); do
  start "engine-$i" bin/jujubestandin engine --id "faultserve-$i" --listen "127.0.0.1:$((base + 10 + i))" \
    --data-centre "${zones[$((i % 4))]}" --model faultserve --list-url "http://$list" --store-url "http://$store" \
    --tokens-per-second 600 --median-tokens 120 --swap-time 300ms --exit-on-crash=false
done
for i in 0 1; do
  start "pumplog-$i" bin/jujubestandin service --id "pumplog-$i" --listen "127.0.0.1:$((base + 20 + i))" \
    --data-centre "${zones[$i]}" --service pumplog --list-url "http://$list"
done
start scorer bin/jujubestandin scorer --id scorer-0 --listen "127.0.0.1:$((base + 22))" --data-centre suva-a \
  --service scorer --list-url "http://$list"

bin/jujubectl --log "$log" --author local-site publish examples/vatuwaqa.yaml

callers=()
operators=()
for i in $(seq 1 "$entries"); do
  callers+=("127.0.0.1:$((base + 20 + 10 * i))")
  operators+=("127.0.0.1:$((base + 22 + 10 * i))")
  start "entry-$i" bin/jujubepier serve --instance "entry-$i" --data-centre "${zones[$(((i - 1) % 4))]}" \
    --caller-address "127.0.0.1:$((base + 20 + 10 * i))" --peer-address "127.0.0.1:$((base + 21 + 10 * i))" \
    --operator-address "127.0.0.1:$((base + 22 + 10 * i))" --log-address "$log" --list-address "$list" --register true
done
status=()
for operator in "${operators[@]}"; do status+=(--operator "$operator"); done
for attempt in $(seq 1 100); do
  # Checked before readiness, because the instances of another site on the same ports would report that they are ready.
  for pid in "${pids[@]}"; do
    if ! kill -0 "$pid" 2>/dev/null; then
      echo "a process has ended; is a port in use? Log lines:" >&2
      tail -n 1 "$logs"/*.log >&2
      exit 1
    fi
  done
  ready=$(bin/jujubectl "${status[@]}" --json status 2>/dev/null | grep -c '"Ready": true' || true)
  [ "$ready" = "$entries" ] && break
  if [ "$attempt" = 100 ]; then
    echo "the entry instances are not ready; see $logs" >&2
    exit 1
  fi
  sleep 0.3
done

echo "log        $log"
echo "list       $list"
echo "store      $store"
echo "callers    ${callers[*]}"
echo "operators  ${operators[*]}"
echo "log lines  $logs"
echo "processes  ${pids[*]}"
echo "Ctrl-C ends the site."
while true; do
  sleep 1 &
  wait $! || true
done
