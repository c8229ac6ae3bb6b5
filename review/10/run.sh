#!/usr/bin/env bash
# All nodes are killed after a part of prompts that crashes servers has been refused; exits with 1 if servers get too many requests with it.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
test -s target/deploy/node.args && test -d target/review-2 || exit 2
exec timeout --signal=TERM 115 java -cp "target/review-2:target/deploy/lib/*" \
    org.lovagethread.review2.DeadlyPart review/10/record.txt restart
