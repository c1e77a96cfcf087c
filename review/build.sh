#!/bin/sh
# Builds the stand-ins that the cases start, from any folder. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/standin
