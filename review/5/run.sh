#!/usr/bin/env bash
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." && [ -x target/review-standin ] || exit 2
exec target/review-standin crash review/5
