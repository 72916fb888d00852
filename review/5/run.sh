#!/bin/bash
# Case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the
# same without the disruption. Needs the build of the deploy file and review/build-2.sh.
TROUBLE="${TROUBLE:-1}" exec "$(dirname "$0")/../standins-2/run-case.sh" 5 narrower-route
