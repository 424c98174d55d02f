#!/bin/sh
# Checks spec/claim.pml with Spin: the protocol must hold, and Spin must find a violation in each mutant.
set -eu
spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp "$spec/attempt.pml" "$spec/claim.pml" "$work"
cd "$work"

# Builds a verifier for the model with the given macro and runs it; the report is in pan.out. Only
# assertions are checked: with -E a process that remains blocked is not an error.
verify() {
  rm -f pan pan.out claim.pml.trail
  spin -a ${1:+-D"$1"} claim.pml >spin.out 2>&1 || { cat spin.out; exit 1; }
  gcc -O0 -w -DSAFETY -DCOLLAPSE -DMEMLIM=1500 -o pan pan.c
  timeout 55 ./pan -E -m200000 >pan.out 2>&1 || true
}

verify ''
states=$(awk '/states, stored/ {print $1}' pan.out)
if ! grep -q 'errors: 0' pan.out || grep -q 'Search not completed' pan.out || [ -z "$states" ]; then
  cat pan.out
  echo "spec/claim: the protocol does not hold or the search is not complete"
  exit 1
fi
echo "spec/claim: holds, $states states explored"

for mutant in $(sed -n 's/^#ifdef \(MUTANT_[A-Z_]*\)$/\1/p' claim.pml | sort -u); do
  verify "$mutant"
  if ! grep -q 'errors: 1' pan.out; then
    cat pan.out
    echo "spec/claim: $mutant is not caught"
    exit 1
  fi
  echo "spec/claim: $mutant is caught: $(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' pan.out)"
done
