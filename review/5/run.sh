#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/persimmoncart ] && [ -x target/review/5 ] || exit 2
exec timeout --signal=KILL 118 target/review/5
