#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. The libraries are those of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -proc:none -d target/review -cp "platform/target/lib/*" \
  platform/src/test/java/org/jackdawslip/platform/StoreStandin.java review/standins/*.java
