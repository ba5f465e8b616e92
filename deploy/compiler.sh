#!/bin/sh
# Checks that there is a C compiler, which the build links with, and fails with a one-line message otherwise.
CC=${CC:-$(go env CC)}
command -v "${CC%% *}" >/dev/null 2>&1 || {
	echo "build: no C compiler: ${CC} is not found, and cherryrelay is linked against the C library (docs/operations.md)" >&2
	exit 1
}
