#!/bin/sh
# Builds the stand-ins of the cases into review/bin. It needs the Go toolchain and no network.
set -eu
cd "$(dirname "$0")/rig"
go build -o ../bin/rig .
