#!/bin/bash
# run-case-2.sh N: runs the program of case N from the root of the repository, for 115 seconds at most, and ends the server
# that it started. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
set -u
number=$1
cd "$(dirname "$0")/.." || exit 2
for program in "review/bin/case-$number" target/release/cottondyke; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the deploy file's build and review/build-2.sh first" >&2
    exit 2
  fi
done
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end_server() {
  while read -r pid; do
    if [ -r "/proc/$pid/cmdline" ] && tr "\0" " " <"/proc/$pid/cmdline" | grep -q cottondyke; then
      kill -KILL "$pid" 2>/dev/null
    fi
  done <"$REVIEW_PIDS"
  rm -f "$REVIEW_PIDS"
}
trap end_server EXIT
timeout --kill-after=2 112 "review/bin/case-$number" "review/$number"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
