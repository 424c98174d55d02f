#!/bin/sh
# Checks spec/configuration.pml with Spin: the model must hold, and Spin must find a violation in each mutant.
set -eu
spec=$(cd "$(dirname "$0")" && pwd)
. "$spec/verify.inc"
check configuration configuration_chart
