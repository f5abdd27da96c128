#!/usr/bin/env bash
# Compiles the stand-ins and the cases 9 and 10 into target/review-3; needs the JDK only. Run bin/build-system first.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/java-home.sh
find_java
rm -rf target/review-3
mkdir -p target/review-3
sources=(review/common-3/*.java)
for n in 9 10; do
  for source in review/$n/*.java; do
    [ -f "$source" ] && sources+=("$source")
  done
done
"$JAVA_HOME/bin/javac" -d target/review-3 "${sources[@]}"
