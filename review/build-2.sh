#!/usr/bin/env bash
# Builds the stand-ins and scenarios of review/src-2 to target/review-2, with the libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
javac -encoding UTF-8 --release 17 -cp "target/deploy/lib/*" -d "$out" review/src-2/*.java
