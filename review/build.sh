#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Ireview/standin \
  review/standin/*.cc -o target/review/review-case -pthread
