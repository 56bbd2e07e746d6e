#!/bin/sh
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$case/../.." && pwd) || exit 2
program="$root/target/review-2/case-$(basename "$case")"
[ -x "$program" ] && [ -x "$root/target/release/balancer-proxy" ] || {
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
}
temporary=$(mktemp -d) || exit 2
REVIEW_ROOT=$root REVIEW_CASE=$case REVIEW_TMP=$temporary "$program" &
check=$!
trap 'kill -s KILL $check; rm -rf "$temporary"; exit 2' HUP INT TERM
wait $check
result=$?
rm -rf "$temporary"
case $result in
0 | 1 | 2) exit $result ;;
*) exit 2 ;;
esac
