#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
exec ../run-case-3.sh memory "review/13"
