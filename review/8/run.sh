#!/usr/bin/env bash
# Plays this case; review/build-2.sh and the build of the deploy file come first.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-2 ] || exit 2
exec bin/review-2 "$PWD" review/8/record.txt left
