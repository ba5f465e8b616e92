#!/bin/sh
# Links the files that describe the wire into this directory, where the bench expects them beside a site's file. They belong to the
# operators and are not in this repository. The argument is the directory that holds them; the default is ../given.
set -eu
from=$(cd "${1:-$(dirname "$0")/../../../given}/kit/more/mass/other" && pwd)
cd "$(dirname "$0")"
for f in real.json wire.json unlock.txt; do
	ln -sfn "$from/$f" "$f"
done
