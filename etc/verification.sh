# For the scripts in bin/ that run a class of lentilslip-verification; they source this file from the root of the tree.

# Builds the module, and sets "java" to a JDK 21 or later and "classes" to what to run with it. Ends the script where there is no such JDK.
prepare_verification() {
	local list="$PWD/lentilslip-verification/target/classpath" home feature
	mvn -B -ntp -q -DskipTests -pl lentilslip-verification -am test-compile \
		org.apache.maven.plugins:maven-dependency-plugin:3.6.1:build-classpath -Dmdep.outputFile=target/classpath
	classes="lentilslip-verification/target/classes:$(cat "$list")"
	java=""
	for home in ${JAVA_HOME:+"$JAVA_HOME"} /usr/lib/jvm/* /opt/jdk* /opt/java/*; do
		feature="$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$home/release" 2>/dev/null || true)"
		if [ "${feature:-0}" -ge 21 ]; then
			java="$home/bin/java"
			return
		fi
	done
	echo "$(basename "$0"): needs a JDK 21 or later; set JAVA_HOME to its folder." >&2
	exit 4
}
