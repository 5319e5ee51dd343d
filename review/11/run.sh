#!/usr/bin/env bash
# Exits with 1 if a write was acknowledged that a replaced primary has committed, 0 if none
# was, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/_scene ] && [ -x target/eelgrassfold ] || { echo "build first" >&2; exit 2; }
exec target/_scene -case two-promotions -program target/eelgrassfold -record review/11/record.txt
