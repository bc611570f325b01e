#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3 ./review/rig3
