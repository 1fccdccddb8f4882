#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
(cd review/standin-2 && GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-2/cases .)
