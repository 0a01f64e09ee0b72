#!/usr/bin/env bash
# Case 4, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run; TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins/case.sh" RouteReplaced "$here"
