#!/usr/bin/env bash
# Builds the stand-ins of the review cases.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
