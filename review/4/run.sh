#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/runtime/bin/java ] || [ ! -d target/review ]; then
  echo "run deploy/build.sh and review/build.sh first" >&2
  exit 2
fi
exec target/runtime/bin/java -cp target/review QueuedAtStop "review/4"
