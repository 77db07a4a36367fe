#!/bin/sh
# Builds the stand-ins of review/ into target/review. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/harness/*.java
