#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run in the repository root after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all,-try -Werror -d target/review-2 \
  -cp "$(ls target/lib/jackson-core-*.jar target/lib/jackson-databind-*.jar \
    target/lib/jackson-annotations-*.jar | tr '\n' ':')" \
  review/standin-2/*.java
