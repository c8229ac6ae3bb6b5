#!/usr/bin/env bash
# Regenerates the Java classes from the .proto files. The generated classes are committed; the build does not run this
# script.
set -euo pipefail
cd "$(dirname "$0")"
version=4.34.1
case "$(uname -m)" in
    aarch64 | arm64) platform=linux-aarch_64 ;;
    *) platform=linux-x86_64 ;;
esac
mvn -B -q dependency:copy -Dartifact=com.google.protobuf:protoc:$version:exe:$platform -DoutputDirectory=target
protoc="target/protoc-$version-$platform.exe"
chmod +x "$protoc"
"$protoc" --java_out=src/main/java --proto_path=src/main/proto src/main/proto/*.proto
