#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/review-standins .
