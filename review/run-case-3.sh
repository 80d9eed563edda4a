#!/usr/bin/env bash
# usage: run-case-3.sh CASE FOLDER: runs a case from the repository's root, and writes FOLDER/record.txt.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/jujubepier ] || [ ! -x target/review-3/standin ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec timeout -k 2 118 target/review-3/standin "$1" "$2"
