#!/bin/sh
# Installs the Debian packages that building and testing need, if any is
# missing. Installing requires root; without it, prints the missing packages
# and fails.
set -eu

packages="gcc g++ clang libclang-rt-14-dev clang-format clang-tidy make git
pkg-config libglib2.0-dev libsoup-3.0-dev libmsgpack-dev libjson-glib-dev
libtomlplusplus-dev libhttp-parser-dev libgtest-dev librapidcheck-dev"

missing=
for package in $packages; do
	dpkg -s "$package" 2>/dev/null |
		grep -q '^Status: install ok installed' ||
		missing="$missing $package"
done
test -n "$missing" || exit 0

if test "$(id -u)" -ne 0; then
	echo "missing packages; as root: apt-get install$missing" >&2
	exit 1
fi
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
