#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into target/review. Needs only the JDK that builds the project.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/java-home.sh
find_java
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standin/*.java
