#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -d target/classes stand/*.java
