#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into build/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
# shellcheck disable=SC2046
cc -std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra review/lab/*.c \
  -o build/review/lab \
  $(pkg-config --cflags --libs jansson libmicrohttpd nettle) -lpthread
