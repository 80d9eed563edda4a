#!/bin/bash
# Builds the stand-ins of review/6 to review/10 into target/review-2. The program itself is built by the deploy file's command.
set -e
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$root/target/review-2"
cd "$root/review/standin-2"
GOWORK=off go build -o "$root/target/review-2/standin2" .
