#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2; to be run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/harness-2/*.java
