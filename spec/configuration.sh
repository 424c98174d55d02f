#!/bin/sh
# Checks spec/configuration.pml with Spin: it must hold, and each mutant must be caught.
set -eu
spec=$(cd "$(dirname "$0")" && pwd)
. "$spec/verify.inc"
check configuration configuration_chart
