#!/bin/sh
# Checks spec/rollout.pml with Spin: the bound on loads must hold, and Spin must find a violation in each mutant.
set -eu
spec=$(cd "$(dirname "$0")" && pwd)
. "$spec/verify.inc"
check rollout replica
