#!/usr/bin/env bash
# Cuts the holder of the duties off the platform; exits with 1 if the platform then gets a call with an old fencing token.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
test -s target/deploy/node.args && test -d target/review-2 || exit 2
exec timeout --signal=TERM 115 java -cp "target/review-2:target/deploy/lib/*" \
    org.lovagethread.review2.StaleDutyCall review/6/record.txt
