#!/bin/sh
# Checks the Promela models in spec/ with Spin; installs Spin when it is missing.
set -eu
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null 2>&1; then
  apt-get update -qq
  apt-get install -y -qq spin
fi
for check in spec/*.sh; do
  [ -e "$check" ] || continue
  sh "$check"
done
