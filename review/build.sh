#!/bin/bash
# Builds the stand-ins of the review. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/reviewcase .
