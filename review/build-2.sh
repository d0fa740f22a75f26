#!/bin/sh
# Compiles all that the scripts review/6 to review/10 start, into review/out-2. Needs the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf out-2
mkdir out-2
echo '*' > out-2/.gitignore
for folder in common-2 6/src 7/src 8/src 9/src 10/src; do
    if [ -d "$folder" ]; then
        find "$folder" -name '*.java'
    fi
done > out-2/sources
javac --release 17 -Xlint:all -d out-2 @out-2/sources
