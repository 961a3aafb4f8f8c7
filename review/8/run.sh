#!/usr/bin/env bash
# Runs the case; see claim.txt.  Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.  TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
lab=../../target/review/lab2
program=../../target/galenaford
[ -x "$lab" ] && [ -x "$program" ] || exit 2
timeout -k 5 100 "$lab" moved-ports "$program" ../../platform "$folder" \
  record.txt "${TROUBLE:-1}"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
