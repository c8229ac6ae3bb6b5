#!/usr/bin/env bash
# Cuts the holder of the duties off the platform; exits with 1 if the platform then gets a call with an old fencing token.
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
export TROUBLE="${TROUBLE:-1}"
test -s target/deploy/node.args && test -d target/review-2 || exit 2
timeout --signal=TERM 115 java -cp "target/review-2:target/deploy/lib/*" \
    org.lovagethread.review2.StaleDutyCall review/6/record.txt
case $? in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
