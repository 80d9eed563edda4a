#!/usr/bin/env bash
# With TROUBLE=0 the case runs without its disruption.
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" split
