#!/bin/sh
# The head of the one binary: finds a JDK 21 or later and runs the jar that follows.
# JAVA_HOME goes first, then the usual folders, then PATH. LENTILSLIP_JAVA_OPTIONS adds options,
# which win over those given here. LENTILSLIP_JVM_FOLDERS replaces the usual folders.

least=21

# Prints the feature number of the JDK in a folder, or nothing. The release file is read,
# because starting each JDK to ask it would take longer than the command itself.
feature_of() {
	[ -x "$1/bin/java" ] || return 0
	text=$(sed -n 's/^JAVA_VERSION="\([^"]*\)".*/\1/p' "$1/release" 2>/dev/null)
	[ -n "$text" ] || text=$("$1/bin/java" -version 2>&1 | sed -n 's/.* version "\([^"]*\)".*/\1/p')
	echo "$text" | sed -n 's/^\([0-9][0-9]*\).*/\1/p'
}

found=""
feature=""
seen=""

# Takes the JDK of a folder if it is new enough.
try() {
	number=$(feature_of "$1")
	[ -n "$number" ] || return 1
	seen="$seen
  $1: $number"
	[ "$number" -ge "$least" ] || return 1
	found="$1"
	feature="$number"
}

find_jdk() {
	if [ -n "$JAVA_HOME" ]; then
		try "$JAVA_HOME" && return
	fi
	for folder in ${LENTILSLIP_JVM_FOLDERS:-/usr/lib/jvm/* /usr/java/* /opt/java/* /opt/jdk* "$HOME"/.sdkman/candidates/java/* /Library/Java/JavaVirtualMachines/*/Contents/Home}; do
		try "$folder" && return
	done
	java=$(command -v java) || return
	try "$(dirname "$(dirname "$(readlink -f "$java")")")"
}

find_jdk
if [ -z "$found" ]; then
	echo "lentilslip: needs a JDK $least or later, and found none." >&2
	[ -z "$seen" ] || echo "These are too old:$seen" >&2
	echo "Install one, or set JAVA_HOME to its folder." >&2
	exit 4
fi

# A small heap that is given back when idle; a process without memory must end, not limp.
options="-XX:+UseSerialGC -Xms16m -Xmx512m -XX:MinHeapFreeRatio=10 -XX:MaxHeapFreeRatio=30 -XX:MaxDirectMemorySize=256m -XX:+ExitOnOutOfMemoryError"
[ "$feature" -lt 22 ] || options="$options --enable-native-access=ALL-UNNAMED"
[ "$feature" -lt 23 ] || options="$options --sun-misc-unsafe-memory-access=allow"

# shellcheck disable=SC2086
exec "$found/bin/java" $options $LENTILSLIP_JAVA_OPTIONS -jar "$0" "$@"
