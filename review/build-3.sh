#!/bin/bash
# Builds the stand-ins and the cases of the third review. They use the standard library only.
cd "$(dirname "$0")/standins-3" && go build -o ../../target/review-3 .
