package io.lentilslip.verification.architecture;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Holds the names of the users' platform inside its folder: whoever reads the product
 * reads the product's own words, and a change of the platform's names changes one folder.
 */
class PlatformNamesTests {

	private static final Path ROOT = Path.of("..");

	private static final List<String> NAMES = List.of("X-Lentilslip-", "x-lentilslip-", "/api/", "keyed.op",
			"keyed.servers", "LENTILSLIP_SETTINGS", "TargetLatencyMs", "PathPrefix", "TrafficSplit", "MaxAttempts",
			"RetentionS", "KvCapacity", "ColdRemainingMs", "HeartbeatMs", "ReadyAddr", "PortRange", "Kv-From",
			"Kv-Fetch", "Response-Stamp");

	@Test
	void namesOfThePlatformStandInItsFolderOnly() throws IOException {
		try (Stream<Path> files = Files.walk(ROOT)) {
			List<String> found = files.filter(PlatformNamesTests::isSourceOutsideOfThePlatform)
				.flatMap(PlatformNamesTests::namesIn)
				.toList();
			assertThat(found).isEmpty();
		}
	}

	@Test
	void namesAreFoundWhereTheyStand() {
		Path headers = ROOT.resolve("platform/src/main/java/io/lentilslip/platform/Headers.java");
		assertThat(namesIn(headers)).isNotEmpty();
	}

	private static boolean isSourceOutsideOfThePlatform(Path file) {
		String path = ROOT.relativize(file).toString();
		boolean source = path.matches("lentilslip-[a-z]+/src/.*\\.(java|proto)");
		return source && !file.getFileName().toString().equals("PlatformNamesTests.java");
	}

	private static boolean stands(String name, String text) {
		return Pattern.compile("(?<!\\w)" + Pattern.quote(name) + (name.matches(".*\\w") ? "(?!\\w)" : ""))
			.matcher(text)
			.find();
	}

	private static Stream<String> namesIn(Path file) {
		try {
			String text = Files.readString(file);
			return NAMES.stream().filter((name) -> stands(name, text)).map((name) -> file + ": " + name);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
