#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/standins2. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -buildvcs=false -o ../../target/standins2 .
