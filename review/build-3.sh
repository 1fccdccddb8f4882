#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which need the standard library only.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins-3"
go build -o "$root/target/review-3/standins" .
