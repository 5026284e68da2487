#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/fleetplay
