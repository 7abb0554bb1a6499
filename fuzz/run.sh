#!/bin/sh
# Runs each fuzz target for a limited time, starting from its corpus.
# Usage: fuzz/run.sh BUILD_DIRECTORY SECONDS TARGET...
#
# New inputs are stored in BUILD_DIRECTORY/corpus, inputs that fail in
# BUILD_DIRECTORY/found.
set -eu
build=$1
seconds=$2
shift 2
mkdir -p "$build/found"
for target in "$@"; do
	mkdir -p "$build/corpus/$target"
	echo "$target: $seconds s"
	"$build/$target" -max_total_time="$seconds" -max_len=8192 \
		-timeout=10 -rss_limit_mb=2048 -print_final_stats=1 \
		-artifact_prefix="$build/found/$target-" \
		"$build/corpus/$target" "fuzz/corpus/$target" \
		2>"$build/$target.log" || {
		tail -n 40 "$build/$target.log"
		exit 1
	}
	grep -E 'DONE|number_of_executed_units' "$build/$target.log"
done
