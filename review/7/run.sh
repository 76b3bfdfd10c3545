#!/bin/sh
# A primary crashes and a replica is lost; the instances are killed meanwhile.
# Build the deploy file's target and review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || exit 2
exec target/review-2/cases lost-sync-commit review/7/record.txt
