#!/bin/sh
# The stand-ins are plain Python without dependencies; this checks that they
# compile. The programs under review come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q common [1-5]
