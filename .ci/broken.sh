#!/usr/bin/env bash
# Breaks one mechanism after another on a copy of the committed tree, and checks that a
# test turns red each time. Each file .ci/broken/*.patch breaks one: its first lines name
# the promise (see docs/UNPROVED.md) and the arguments of `go test`.
#
# usage: .ci/broken.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"

names=("$@")
if [ ${#names[@]} -eq 0 ]; then
	for patch in .ci/broken/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi

failed=0
printf '%-22s %-12s %s\n' mechanism result promise
for name in "${names[@]}"; do
	patch=$PWD/.ci/broken/$name.patch
	promise=$(sed -n 's/^Promise: //p' "$patch")
	read -ra arguments <<<"$(sed -n 's/^Test: //p' "$patch")"
	result=red
	if ! (cd "$copy" && git apply "$patch" 2>"$copy/.error"); then
		result='not applied'
	elif ! (cd "$copy" && go build ./... 2>"$copy/.error"); then
		result='not built'
	elif ! (cd "$copy" && go test -count 1 "${arguments[@]}" >"$copy/.unbroken" 2>&1); then
		# A test that doesn't exist or doesn't compile must not count as red.
		grep -q -e '^--- FAIL' -e '^panic' "$copy/.unbroken" || result='no failure'
	else
		result=GREEN
	fi
	(cd "$copy" && git apply -R "$patch" 2>/dev/null) || true
	printf '%-22s %-12s %s\n' "$name" "$result" "$promise"
	[ "$result" = red ] || failed=1
done
exit $failed
