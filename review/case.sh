#!/usr/bin/env bash
# Runs a case: case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/review/java ] || [ ! -f target/lentilslip.jar ] || [ ! -x target/runtime/bin/java ]; then
	echo "run bin/build-deploy and review/build.sh first" >&2
	exit 2
fi
"$(cat target/review/java)" -Xmx1g -cp target/review/classes "review.$1" "review/$2"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
