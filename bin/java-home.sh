# Finds a JDK of 23 or newer and sets java_bin. Sourced by the scripts in this folder and in its parent.
find_java() {
  local candidate version
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -x "$candidate/bin/javac" ] || continue
    version=$("$candidate/bin/java" -version 2>&1 | sed -n 's/.* version "\([0-9]*\).*/\1/p' | head -1)
    if [ "${version:-0}" -ge 23 ]; then
      export JAVA_HOME="$candidate"
      java_bin="$candidate/bin/java"
      return 0
    fi
  done
  echo "no JDK of 23 or newer: set JAVA_HOME, or install one under /usr/lib/jvm" >&2
  return 1
}
