#!/usr/bin/env bash
# Plays the case and writes record.txt. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lacewingwheel ] && [ -x target/review-standin ] || exit 2
exec target/review-standin deadly review/5
