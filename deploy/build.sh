#!/usr/bin/env bash
# Builds the node and writes the arguments with which it runs to target/deploy.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mvn -B -q -DskipTests package -pl lovagethread-node -am
out=target/deploy
rm -rf "$out"
mkdir -p "$out/lib"
cp lovagethread-node/target/lovagethread-node-*.jar lovagethread-node/target/lib/*.jar "$out/lib/"
class_path="$(find "$out/lib" -name '*.jar' | sort | paste -sd: -)"
archive="$out/node.jsa"
flags="-Xms48m -Xmx160m -Xmn24m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1
-XX:MaxDirectMemorySize=96m -XX:-UsePerfData -Djava.net.preferIPv4Stack=true
-Dio.netty.allocator.type=unpooled -Dio.netty.noUnsafe=false -Dio.netty.machineId=00:00:00:00:00:00:00:01
-cp $class_path"

# Records the classes that a serving node loads, so that a restarted node serves sooner.
# shellcheck disable=SC2086
java -XX:ArchiveClassesAtExit="$archive" $flags org.lovagethread.platform.CdsTrainingRun $((20000 + $$ % 1200 * 10)) > "$out/rehearsal.log" 2>&1 ||
    { tail -n 20 "$out/rehearsal.log" >&2; exit 1; }
test -s "$archive" || { echo "the class archive was not written" >&2; exit 1; }
printf '%s\n' "-XX:SharedArchiveFile=$archive" "-Xshare:auto" "$flags" > "$out/node.args"
