#!/usr/bin/env bash
# Exit status 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
case_folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$case_folder/../.." || exit 2
test -d target/review || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx256m -cp 'target/review:target/deploy/lib/*' EndlessLines "$case_folder/record.txt"
