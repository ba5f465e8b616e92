#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=review/2
for program in bin/cherryrelay "bin/$case"; do
	[ -x "$program" ] || { echo "$program is not built: see deploy/balancer.toml and review/build.sh" >&2; exit 2; }
done
RECORD_DIR="$PWD/$case" exec "bin/$case"
