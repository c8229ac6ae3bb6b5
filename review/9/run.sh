#!/usr/bin/env bash
# Lets a server leave while a node reads the list of servers; exits with 1 if the node goes on to send it requests.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
test -s target/deploy/node.args && test -d target/review-2 || exit 2
exec timeout --signal=TERM 115 java -cp "target/review-2:target/deploy/lib/*" \
    org.lovagethread.review2.MissedLeaving review/9/record.txt
