#!/bin/sh
# Builds the stand-ins that the scripts of review/8 and later start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/_stage
