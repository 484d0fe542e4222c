#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. They
# need a C++20 compiler and nothing else. The program itself is built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-2/world review/standins-2/*.cpp
