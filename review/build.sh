#!/bin/sh
# Builds every stand-in that the cases start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/out
mkdir -p review/out
javac -nowarn -d review/out review/common/*.java review/[0-9]/*.java
