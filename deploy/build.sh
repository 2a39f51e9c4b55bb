#!/usr/bin/env bash
# Builds the gateway and a runtime image of its own under target/; called by the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./java-home.sh
mvn --batch-mode --no-transfer-progress -q -DskipTests -pl platform -am package
rm -rf target/runtime
mkdir -p target
"$JAVA_HOME/bin/jlink" --add-modules java.se,jdk.unsupported --strip-debug --no-header-files \
  --no-man-pages --output target/runtime
cp platform/target/cactusseam-platform-*-all.jar target/gateway.jar
