#!/bin/sh
# Compiles the stand-ins and the cases of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 -cp "target/lib/*" -d target/review-2 review/src-2/*.java
