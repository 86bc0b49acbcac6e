#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for case in standin-2/case_*.c; do
  name=$(basename "$case" .c)
  cc -std=gnu11 -O2 -Wall -Wextra -Istandin-2 "$case" standin-2/stand.c \
    -o "$out/$name" -pthread
done
