#!/usr/bin/env bash
# Runs every test with the race detector. A test that is listed in KNOWN-RED.txt
# runs by itself afterwards: it is printed, and its failure is passed over.
# Results are never taken from the cache: some tests build and run programs, and
# the cache does not see when these change.
# An entry is one line: test | package | command and seed | what was seen | issue
set -uo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
list=KNOWN-RED.txt
status=0

entries() { [ -f "$list" ] && grep -v '^[[:space:]]*\(#\|$\)' "$list"; }
field() { cut -d'|' -f"$1" | sed 's/^ *//;s/ *$//'; }

skip=$(entries | field 1 | sed 's/^/^/;s/$/$/' | paste -sd'|')
if [ -n "$skip" ]; then
  $go test -race -count=1 -skip "$skip" ./... || status=1
else
  $go test -race -count=1 ./... || status=1
fi

if [ -z "$skip" ]; then
  echo "known red: none"
  exit $status
fi
echo "known red, passed over as listed in $list:"
while IFS= read -r line; do
  name=$(printf '%s' "$line" | field 1)
  package=$(printf '%s' "$line" | field 2)
  out=$($go test -count=1 -run "^$name\$" -v "$package" 2>&1)
  if ! printf '%s' "$out" | grep -q -- "--- \(FAIL\|PASS\): $name "; then
    echo "  $name: not found in $package; mend the entry"
    status=1
  elif printf '%s' "$out" | grep -q -- "--- FAIL: $name "; then
    echo "  red:   $line"
  else
    echo "  green: $line (remove the entry)"
  fi
done < <(entries)
exit $status
