#!/bin/bash
# run-case-2.sh SCENARIO DIR: plays a scenario of standin-2 and writes DIR/record.txt.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
case_dir=$(cd "$2" && pwd)
tmp=$(mktemp -d)
keepers=()
end() {
	touch "$tmp/stop"
	for file in "$tmp"/*.pid; do
		[ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
	done
	[ ${#keepers[@]} -gt 0 ] && wait "${keepers[@]}" 2>/dev/null
	[ -n "$player" ] && kill "$player" 2>/dev/null
	if [ -n "$KEEP_LOGS" ]; then mkdir -p "$KEEP_LOGS" && cp "$tmp"/* "$KEEP_LOGS"; fi
	rm -rf "$tmp"
}
trap end EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
[ -x target/jujubepier ] && [ -x target/review-2/standin2 ] || { echo "build first" >&2; exit 2; }
# keep NAME starts a process of the system again whenever it has ended.
keep() {
	while [ ! -e "$tmp/stop" ]; do
		JUJUBEPIER_BOOT="$tmp/$1.yaml" target/jujubepier serve >>"$tmp/$1.log" 2>&1 &
		echo $! >"$tmp/$1.pid"
		wait $!
		[ -e "$tmp/stop" ] || sleep 0.5
	done
}
target/review-2/standin2 "$1" "$tmp" "$case_dir/record.txt" &
player=$!
for _ in $(seq 200); do
	[ -e "$tmp/nodes" ] && break
	sleep 0.05
done
[ -e "$tmp/nodes" ] || exit 2
while read -r name; do
	keep "$name" &
	keepers+=($!)
done <"$tmp/nodes"
wait "$player"
code=$?
player=
exit $code
