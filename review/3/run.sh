#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../play.sh" wall "$here"
