#!/bin/sh
# Builds the stand-ins of the review. They use the standard library only, so this compiles them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
