#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, beside the build of the deploy file: the stand-ins for discovery,
# media nodes and viewers. They use the standard library alone, so nothing is fetched.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && CGO_ENABLED=0 go build -o review/bin/peers2 ./review/peers2
