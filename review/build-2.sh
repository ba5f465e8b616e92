#!/bin/sh
# Builds the stand-in that the scripts of review/6 to review/10 start. It comes after the build of the deploy file, and needs no network
# beyond what that build has fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-stand ./review/stand
