#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$here/../bin/reviewcase" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$here/../bin/reviewcase" -root "$here/../.." -out "$here" cold
