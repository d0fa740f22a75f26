#!/bin/sh
# Records the classes of a short rehearsal in target/maplespread.jsa, which run in balancer.toml names. Without
# it the program starts all the same, only slower: so a rehearsal that fails does not fail the build. With a
# console, since a process that replaces another starts with one.
rm -f target/maplespread.jsa
mkdir -p target/rehearsal
TMPDIR=target/rehearsal BALANCER_CONFIG=example/config.json BALANCER_LISTEN=127.0.0.1:0 BALANCER_CONSOLE=127.0.0.1:0 \
    java -XX:ArchiveClassesAtExit=target/maplespread.jsa -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -jar target/maplespread.jar rehearse > target/rehearsal.log 2>&1 \
    || echo "no class archive: see target/rehearsal.log" >&2
exit 0
