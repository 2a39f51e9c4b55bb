#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, after deploy/build.sh. Needs only a JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./java-home.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/standins-2/*.java
