#!/bin/sh
# Builds the stand-ins and the cases. The build of deploy/balancer.toml has to have run before.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -Xlint:all,-processing -d build -cp "../target/sandstack.jar:../target/lib/*" src/*.java
