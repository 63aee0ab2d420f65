#!/usr/bin/env bash
# Runs the given go test command. Tests that KNOWN-RED.txt names may fail: they
# run, and are printed. Any other failure, a panic or a failed build fails.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
"$@" 2>&1 | tee "$out"
code=${PIPESTATUS[0]}
[ -s KNOWN-RED.txt ] && echo "known red (KNOWN-RED.txt):" && cat KNOWN-RED.txt
[ "$code" = 0 ] && exit 0
failed=$(grep -E '^--- FAIL: ' "$out" | awk '{print $3}' | sort -u)
if [ -z "$failed" ] || grep -qE '^panic:|^signal: |\[(build|setup) failed\]|DATA RACE' "$out"; then exit "$code"; fi
for name in $failed; do
  if ! grep -qE "^$name( |$)" KNOWN-RED.txt; then echo "failed, and not known red: $name"; exit "$code"; fi
done
echo "only known red tests failed: $failed"
