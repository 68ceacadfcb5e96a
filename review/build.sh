#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
mkdir -p target/review
go build -o target/review/ ./review/[0-9]*/
