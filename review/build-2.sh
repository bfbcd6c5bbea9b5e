#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2; needs a C++20 compiler only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/lab-2/*.cpp; do
  name=$(basename "$case" .cpp)
  [ "$name" = lab ] && continue
  ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -pthread review/lab-2/lab.cpp "$case" -o "$out/$name"
done
