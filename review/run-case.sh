#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
root=$(pwd)
temporary=$(mktemp -d) || exit 2
timeout 118 java -Xmx256m -Droot="$root" -Dtemporary="$temporary" \
  -cp "review/target:target/lib/*" Case "$2" "$folder/record.txt"
code=$?
if [ "$code" -ne 0 ] && [ -n "${KEEP:-}" ]; then
  cp "$temporary"/*.log "$KEEP"/
fi
rm -rf "$temporary"
[ "$code" -le 1 ] || code=2
exit "$code"
