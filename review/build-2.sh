#!/usr/bin/env bash
# Builds the programs of the scripts of this review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/7/movedstore; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread review/scene-2/scene2.cpp "$case.cpp" -o "target/review-2/$(basename "$case")"
done
