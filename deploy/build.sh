#!/usr/bin/env bash
# Builds the node, and writes its libraries, its class archive and the file with its JVM arguments to target/deploy.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mvn -B -q -DskipTests package -pl lovagethread-node -am
out=target/deploy
rm -rf "$out"
mkdir -p "$out/lib"
cp lovagethread-node/target/lovagethread-node-*.jar lovagethread-node/target/lib/*.jar "$out/lib/"
class_path="$(find "$out/lib" -name '*.jar' | sort | paste -sd: -)"
archive="$out/node.jsa"
jvm_flags="-Xms48m -Xmx160m -Xmn24m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1
-XX:MaxDirectMemorySize=96m -XX:-UsePerfData -Djava.net.preferIPv4Stack=true
-Dio.netty.allocator.type=unpooled -Dio.netty.noUnsafe=false -Dio.netty.machineId=00:00:00:00:00:00:00:01
-cp $class_path"

# Creates a class data sharing archive of the classes that a serving node loads; it shortens the start of a node.
# shellcheck disable=SC2086
java -XX:ArchiveClassesAtExit="$archive" $jvm_flags org.lovagethread.platform.CdsTrainingRun $((20000 + $$ % 1200 * 10)) > "$out/rehearsal.log" 2>&1 ||
    { tail -n 20 "$out/rehearsal.log" >&2; exit 1; }
test -s "$archive" || { echo "the JVM did not write the class archive $archive" >&2; exit 1; }
printf '%s\n' "-XX:SharedArchiveFile=$archive" "-Xshare:auto" "$jvm_flags" > "$out/node.args"
