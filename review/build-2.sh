#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/java-home.sh
find_java
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/stand-ins-2/*.java
