#!/bin/sh
# Checks spec/leader.pml with Spin: one leader orders at a time and isn't locked out, and Spin must find a violation in
# each mutant.
set -eu
spec=$(cd "$(dirname "$0")" && pwd)
. "$spec/verify.inc"
check leader
