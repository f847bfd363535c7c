#!/bin/sh
# Exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/Case7.class ] && [ -f target/agatefield-entry.jar ] || exit 2
libraries=$(ls target/lib/jackson-core-*.jar target/lib/jackson-databind-*.jar \
  target/lib/jackson-annotations-*.jar | tr '\n' ':')
exec java -Xmx1g -XX:+UseSerialGC -cp "target/review-2:$libraries" Case7 review/7/record.txt
