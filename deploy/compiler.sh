#!/bin/sh
# Ends in one plain line if there is no C compiler for the build to link with.
CC=${CC:-$(go env CC)}
command -v "${CC%% *}" >/dev/null 2>&1 || {
	echo "build: no C compiler: ${CC} is not found, and cherryrelay is linked against the C library (docs/operations.md)" >&2
	exit 1
}
