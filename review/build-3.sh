#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 11 on start.
set -euo pipefail
cd "$(dirname "$0")/standins-11"
go build -o ../../target/review-3/ .
