#!/usr/bin/env bash
# Runs the tests of all modules. What KNOWN-RED.txt lists is printed, and the tests among it are skipped.
set -euo pipefail
cd "$(dirname "$0")"
export CGO_ENABLED=1
skip=""
if [ -f KNOWN-RED.txt ]; then
  skip=$(awk -F'|' '/^Test/ {gsub(/ /,"",$1); printf "%s%s", sep, $1; sep="|"}' KNOWN-RED.txt)
  echo "known to fail, not counted (KNOWN-RED.txt):"
  grep -v '^#' KNOWN-RED.txt
fi
args=(-count=1 -timeout 15m)
[ -n "$skip" ] && args+=(-skip "^(${skip})\$")
go test "${args[@]}" ./core/... ./entry/... ./ctl/... ./standin/... ./load/... ./platform/...
