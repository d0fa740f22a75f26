#!/bin/sh
# run.sh N CLASS: runs a case from the repository's root. Exit status: 1 broken, 0 held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/maplespread.jar ] || [ ! -f "review/out-2/review2/$2.class" ]; then
    echo "build first: the build of deploy/balancer.toml, then sh review/build-2.sh"
    exit 2
fi
exec java -Xmx256m -Djava.net.preferIPv4Stack=true -cp review/out-2 "review2.$2" "review/$1/record.txt"
