#!/usr/bin/env bash
# An engine drains, and the answer to one request that continues a stream is lost.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$dir/../.." && pwd) || exit 2
for program in monsoonspar review-standins; do
  [ -x "$root/target/$program" ] || { echo "target/$program is missing; run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
exec "$root/target/review-standins" overlap "$root" "$dir"
