#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 11 on start, into target/standins11. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
(cd standins-11 && GOWORK=off go build -buildvcs=false -o ../../target/standins11 .)
