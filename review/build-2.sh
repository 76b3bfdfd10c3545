#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2. They
# need g++ and nlohmann-json, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin-2/*.cc \
  -o target/review-2/cases
