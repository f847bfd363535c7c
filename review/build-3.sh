#!/usr/bin/env bash
# Compiles the stand-ins and cases of the third review into target/review-3, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -cp 'target/lib/*' -d target/review-3 review/standin-3/*.java
