# Sets JAVA_HOME to a JDK of version 21 or newer. Sourced by the scripts in this directory.
java_major() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

if [ -z "${JAVA_HOME:-}" ] || [ "$(java_major "$JAVA_HOME")" -lt 21 ] 2>/dev/null; then
  JAVA_HOME=""
  for candidate in /usr/lib/jvm/*; do
    if [ -x "$candidate/bin/javac" ] && [ "$(java_major "$candidate")" -ge 21 ] 2>/dev/null; then
      JAVA_HOME="$candidate"
    fi
  done
fi
if [ -z "$JAVA_HOME" ]; then
  echo "cactusseam requires JDK 21 or newer; set JAVA_HOME to its directory" >&2
  exit 1
fi
export JAVA_HOME
