#!/bin/sh
# Plays the case with separate gateway processes; see claim.txt. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 build/review-2 stop review/6/record.txt
