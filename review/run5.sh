#!/usr/bin/env bash
# Runs a case N times with the disruption and once without it: review/run5.sh CASE [N]. Prints the exit codes.
cd "$(dirname "$0")" || exit 2
codes=""
for _ in $(seq "${2:-5}"); do bash "$1/run.sh" > /dev/null 2>&1; codes="$codes $?"; done
TROUBLE=0 bash "$1/run.sh" > /dev/null 2>&1
echo "case $1: with the disruption$codes; without it $?"
