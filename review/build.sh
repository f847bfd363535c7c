#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -nowarn -d review/target -cp 'target/lib/*' review/standin/*.java
