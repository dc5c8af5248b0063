#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/jacinthlever-instance ] || exit 2
exec target/review/cases broken-off review/5/record.txt
