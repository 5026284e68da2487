#!/bin/sh
# Plays what was case 9 (no case: see claim.txt) and writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review-2/fleetplay ] && [ -x target/egretroute ] || { echo "run the deploy file's build and review/build-2.sh first"; exit 2; }
exec target/review-2/fleetplay -case polls -record review/found-2/crash-together/record.txt
