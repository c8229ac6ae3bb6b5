#!/usr/bin/env bash
# Compiles the stand-ins and scenarios of the review into target/review. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
test -f target/deploy/node.args || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/deploy/lib/*' review/src/*.java
