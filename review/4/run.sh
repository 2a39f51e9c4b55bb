#!/usr/bin/env bash
# TROUBLE=0 runs the same course without the disruption, and must exit with 0.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/runtime/bin/java ] || [ ! -d target/review ]; then
  echo "run deploy/build.sh and review/build.sh first" >&2
  exit 2
fi
exec target/runtime/bin/java -cp target/review QueuedAtStop "review/4"
