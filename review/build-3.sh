#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases 11 to 15 into review/lab-3/bin; needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/lab-3"
mkdir -p bin
for source in *.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/${source%.cpp}" "$source"
done
