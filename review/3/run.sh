#!/bin/sh
exec sh "$(dirname "$0")/../play.sh" 3
