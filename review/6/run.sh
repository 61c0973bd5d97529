#!/bin/sh
# Plays the case of claim.txt: 1 if the rule was broken, 0 if it held, 2 if it could not be played.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/service.toml and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/ambersill ] && [ -x ../../target/review-2/standin2 ] || exit 2
exec ../../target/review-2/standin2 field-nobody-knows ../../target/ambersill record.txt
