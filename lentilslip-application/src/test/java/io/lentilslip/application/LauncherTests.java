package io.lentilslip.application;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class LauncherTests {

	private static final Path LAUNCHER = Path.of("src", "main", "launcher", "lentilslip.sh").toAbsolutePath();

	@TempDir
	private Path folder;

	// A JDK whose java does nothing but say its name and what it was given.
	private Path jdk(String name, String version) throws IOException {
		Path home = this.folder.resolve("jvm").resolve(name);
		Files.createDirectories(home.resolve("bin"));
		Files.writeString(home.resolve("release"), "IMPLEMENTOR=\"x\"\nJAVA_VERSION=\"" + version + "\"\n");
		Path java = home.resolve("bin/java");
		Files.writeString(java, "#!/bin/sh\necho " + name + " \"$@\"\n");
		Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
		return home;
	}

	private Run launch(Optional<Path> javaHome, Map<String, String> variables, String... arguments) throws Exception {
		String[] command = new String[arguments.length + 2];
		command[0] = "/bin/sh";
		command[1] = LAUNCHER.toString();
		System.arraycopy(arguments, 0, command, 2, arguments.length);
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
		builder.environment().remove("JAVA_HOME");
		builder.environment().put("PATH", Files.createDirectories(this.folder.resolve("path")) + ":/usr/bin:/bin");
		builder.environment().put("LENTILSLIP_JVM_FOLDERS", this.folder.resolve("jvm") + "/*");
		builder.environment().putAll(variables);
		javaHome.ifPresent((home) -> builder.environment().put("JAVA_HOME", home.toString()));
		Process process = builder.start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		return new Run(process.waitFor(), output);
	}

	@Test
	void folderOfTheUserGoesFirst() throws Exception {
		jdk("a-25", "25.0.1");
		Run run = launch(Optional.of(jdk("z-21", "21.0.4")), Map.of(), "config", "check", "a b");
		assertThat(run.code()).isZero();
		assertThat(run.output()).startsWith("z-21 ").endsWith("-jar " + LAUNCHER + " config check a b\n");
	}

	@Test
	void folderOfTheUserThatIsTooOldIsPassedOver() throws Exception {
		Path old = jdk("a-17", "17.0.15");
		jdk("b-8", "1.8.0_412");
		jdk("c-25", "25.0.1");
		assertThat(launch(Optional.of(old), Map.of()).output()).startsWith("c-25 ");
	}

	@Test
	void optionsAreGivenOnlyToJdksThatKnowThem() throws Exception {
		String access = "--enable-native-access=ALL-UNNAMED";
		String unsafe = "--sun-misc-unsafe-memory-access=allow";
		assertThat(launch(Optional.of(jdk("a", "21.0.4")), Map.of()).output()).doesNotContain(access, unsafe);
		assertThat(launch(Optional.of(jdk("b", "22")), Map.of()).output()).contains(access).doesNotContain(unsafe);
		assertThat(launch(Optional.of(jdk("c", "23-ea")), Map.of()).output()).contains(access, unsafe);
	}

	@Test
	void optionsOfTheUserComeLast() throws Exception {
		Map<String, String> variables = Map.of("LENTILSLIP_JAVA_OPTIONS", "-Xmx1g -Da=b");
		assertThat(launch(Optional.of(jdk("a", "25")), variables).output())
			.containsPattern("-Xmx512m .*-Xmx1g -Da=b -jar");
	}

	@Test
	void javaOfThePathIsTheLastWay() throws Exception {
		Path home = Files.move(jdk("a-24", "24.0.2"), this.folder.resolve("elsewhere"));
		Files.createSymbolicLink(Files.createDirectories(this.folder.resolve("path")).resolve("java"),
				home.resolve("bin/java"));
		assertThat(launch(Optional.empty(), Map.of()).output()).startsWith("a-24 ");
	}

	@Test
	void withoutASuitableJdkTheUserLearnsWhatIsMissing() throws Exception {
		Path old = jdk("a-17", "17.0.15");
		Files.createSymbolicLink(Files.createDirectories(this.folder.resolve("path")).resolve("java"),
				old.resolve("bin/java"));
		Run run = launch(Optional.empty(), Map.of());
		assertThat(run.code()).isEqualTo(4);
		assertThat(run.output()).contains("needs a JDK 21 or later", old + ": 17", "JAVA_HOME");
	}

	private record Run(int code, String output) {

	}

}
