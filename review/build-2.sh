#!/bin/sh
# Builds the stand-ins that the scripts review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/stand-2/target
mkdir -p review/stand-2/target
javac --release 17 -Xlint:all -d review/stand-2/target review/stand-2/src/*.java
