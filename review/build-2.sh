#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/standins2 and target/review-3. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
(cd standins-2 && GOWORK=off go build -buildvcs=false -o ../../target/standins2 .)
(cd standins-3 && GOWORK=off go build -buildvcs=false -o ../../target/review-3 .)
