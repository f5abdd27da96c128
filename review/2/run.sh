#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
rm -f "$here/record.txt"
[ -x target/runtime/bin/java ] || bin/build-system || exit 2
review/build.sh || exit 2
. bin/java-home.sh || exit 2
find_java || exit 2
timeout --signal=TERM 110 "$java_bin" -cp target/review KilledWhileBlank "$here" "$PWD" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null; wait "$pid"; exit 2' TERM INT
wait "$pid"
code=$?
# Only a verdict that the record ends with counts.
case "$code $(tail -n 1 "$here/record.txt" 2>/dev/null)" in
  "0 "*" exit 0" | "1 "*" exit 1") exit "$code" ;;
  *) exit 2 ;;
esac
