#!/usr/bin/env bash
# Plays the case against the built program: see claim.txt. It needs review/build.sh to have run.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 plays it without
# the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] && [ -x target/ambersill ] || exit 2
exec target/review/standin --case job-behind-lapsed-reserve --program target/ambersill --record "$here/record.txt"
