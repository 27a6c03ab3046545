#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p platform/target/review-2
javac -nowarn -encoding UTF-8 -d platform/target/review-2 \
  -cp "platform/target/jackdawslip-gateway.jar:platform/target/lib/*" \
  -sourcepath platform/src/test/java review/standins-2/*.java
