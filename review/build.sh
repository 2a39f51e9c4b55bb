#!/usr/bin/env bash
# Builds the stand-ins of the cases under target/review/. Needs the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./java-home.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 21 -Xlint:all -d target/review review/standins/*.java
