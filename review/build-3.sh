#!/bin/sh
# Builds the stand-ins and the cases review/11 to review/15 into one program, target/review-3. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-3 ./review/_harness3
