#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
packages="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 msgpack json-glib-1.0"
make -s -j8 build/libfleet.a build/libauburnstile.a
# shellcheck disable=SC2046
gcc -std=gnu11 -g -O2 -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE \
	-Iinclude -Itools -Iplatform $(pkg-config --cflags $packages) \
	-o build/review-standin review/standin.c \
	build/libfleet.a build/libauburnstile.a \
	$(pkg-config --libs $packages) -lhttp_parser -lm -lstdc++ -lpthread
