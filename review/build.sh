#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review into target/review. Needs a JDK 21 or later, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."

jdk=""
newest=20
for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /opt/jdk*; do
	[ -x "$candidate/bin/javac" ] || continue
	version=$("$candidate/bin/javac" -version 2>&1 | sed -E 's/^javac ([0-9]+).*/\1/')
	if [ "$version" -gt "$newest" ]; then
		newest=$version
		jdk=$candidate
	fi
done
if [ -z "$jdk" ]; then
	echo "review/build.sh: needs a JDK 21 or later" >&2
	exit 1
fi
rm -rf target/review
mkdir -p target/review/classes
"$jdk/bin/javac" --release 21 -d target/review/classes review/standins/*.java review/*/Case*.java
echo "$jdk/bin/java" > target/review/java
