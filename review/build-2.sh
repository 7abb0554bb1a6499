#!/bin/sh
# Builds the stand-ins of the second review's scripts: build/review-2.
set -e
cd "$(dirname "$0")/.."
make -s -j8 build/libfleet.a build/libauburnstile.a
packages="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 msgpack json-glib-1.0"
flags=$(pkg-config --cflags $packages | sed 's/-I/-isystem /g')
gcc -std=gnu11 -g -O2 -Wall -Wextra -Wshadow -Wno-unused-parameter \
	-D_GNU_SOURCE -Iinclude -Itools -Iplatform $flags \
	-o build/review-2 review/cases-2.c review/standin-2.c \
	build/libfleet.a build/libauburnstile.a \
	$(pkg-config --libs $packages) -lhttp_parser -lm -lstdc++
