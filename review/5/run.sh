#!/usr/bin/env bash
# Plays the case with the instances' command of the deploy file: 1 = the rule was broken,
# 0 = it held, 2 = the case could not be played. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -nE 's/^run = "(.*)"$/\1/p' deploy/system.toml)
[ -n "$run" ] && [ -x "${run%% *}" ] && [ -x target/_world ] || { echo "not built" >&2; exit 2; }
# The command is split at spaces, as the platform does.
# shellcheck disable=SC2086
exec target/_world drain "$here/record.txt" $run
