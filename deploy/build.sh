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
{
    echo "-Xms48m -Xmx160m -Xmn24m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
    echo "-XX:MaxDirectMemorySize=96m -XX:-UsePerfData -Xshare:auto"
    echo "-Djava.net.preferIPv4Stack=true -Dio.netty.allocator.type=unpooled -Dio.netty.noUnsafe=false"
    echo "-cp $class_path"
} > "$out/node.args"
