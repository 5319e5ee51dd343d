#!/usr/bin/env bash
# Plays up to six deployments, one after the other, until the rule is broken in one: exits with
# 1 if an acknowledged write is not in the log of the promoted database, 0 if all are, and 2 if
# the case could not run. record.txt is that of the last one. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/_scene ] && [ -x target/eelgrassfold ] || { echo "build first" >&2; exit 2; }
for _ in 1 2 3 4 5 6; do
  target/_scene -case returned-primary-synchronous -program target/eelgrassfold -record review/13/record.txt
  result=$?
  [ "$result" -eq 0 ] || exit "$result"
done
