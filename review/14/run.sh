#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
# Requires the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
case=14
[[ -x target/bramleystalld && -x target/review-3/case-$case ]] || exit 2
timeout --signal=KILL 115 "target/review-3/case-$case" "review/$case/record.txt"
result=$?
[[ $result == 1 || $result == 0 ]] || result=2
exit "$result"
