#!/usr/bin/env bash
# Runs this case. Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
if ! [ -x target/review-2/standin ] || ! [ -x target/release/tidespur-planner ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"
  exit 2
fi
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
finish() {
  [ ! -f "$CASE_FOLDER/pid" ] || kill -KILL "$(cat "$CASE_FOLDER/pid")"
  rm -rf "$CASE_FOLDER"
}
trap finish EXIT
timeout -k 1 115 target/review-2/standin end-lost "$here"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
