#!/usr/bin/env bash
# Runs the case; see claim.txt.  Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.  TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/lab2 ] && [ -x target/galenaford ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 target/review/lab2 moved-route target/galenaford platform \
  "$folder" "$here/record.txt" "${TROUBLE:-1}"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
