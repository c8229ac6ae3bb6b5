#!/usr/bin/env bash
# A model server answers one stream with line feeds without end; exits with 1 if other requests are held up.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
test -s target/deploy/node.args && test -d target/review-2 || exit 2
exec timeout --signal=TERM 115 java -cp "target/review-2:target/deploy/lib/*" \
    org.lovagethread.review2.EndlessEvents review/7/record.txt
