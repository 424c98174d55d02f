#!/bin/sh
# Builds the stand-ins and the players of the cases that are scripts, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -o target/review/harness ./review/_harness
