#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out,
# PLANNED=1 stops the two processes with SIGTERM instead of killing them.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/drill ] && [ -x target/release/jacinthlever-instance ] || exit 2
exec target/review-3/drill removed review/12/record.txt
