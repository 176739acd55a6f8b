#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the second review into target/review-2. Needs a JDK 21 or later; run it after
# bin/build-deploy, whose runtime the cases use.
set -euo pipefail
cd "$(dirname "$0")/.."
best="" newest=20
for jdk in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /opt/jdk*; do
	[ -x "$jdk/bin/javac" ] || continue
	version=$("$jdk/bin/javac" -version 2>&1 | sed -E 's/^javac ([0-9]+).*/\1/')
	if [ "$version" -gt "$newest" ]; then
		newest=$version
		best=$jdk
	fi
done
if [ -z "$best" ]; then
	echo "build-2: needs a JDK 21 or later; looked at JAVA_HOME, /usr/lib/jvm and /opt" >&2
	exit 1
fi
rm -rf target/review-2
mkdir -p target/review-2
"$best/bin/javac" -nowarn -d target/review-2 review/standins-2/*.java review/*/Scenario*.java
