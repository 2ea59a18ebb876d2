#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all,-serial --release 17 --add-modules jdk.httpserver -d target/review review/standins/*.java review/[1-3]/*.java
