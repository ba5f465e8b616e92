#!/bin/sh
# Builds the programs of the cases, with the stand-ins for callers, dispatchers and the platform in them, into bin/review.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin/review
for case in review/[0-9]; do
	go build -o "bin/$case" "./$case" || exit 2
done
