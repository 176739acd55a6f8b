package io.lentilslip.settings.folder;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.vavr.control.Either;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationReaderPropertyTests {

	private static final List<String> BASE_LINES = Sources.BASE.lines().toList();

	// An operator's slip spoils one line of a sound file. Whatever the line and the slip,
	// nothing of the file comes into force, and a problem names that very line.
	@Property(seed = "1", tries = 1000)
	void refusesAFileWithAnyOneSpoiledLine(@ForAll("spoiled") Spoiled spoiled) {
		Either<List<ConfigurationProblem>, Configuration> result = ConfigurationReader.read(spoiled.source());
		assertThat(result.isLeft()).isTrue();
		assertThat(result.getLeft()).extracting(ConfigurationProblem::line).contains(spoiled.line());
	}

	@Property(seed = "2", tries = 300)
	void takesEachKeyFromTheLastFileThatHasIt(
			@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 99) Integer> shares, @ForAll Random random) {
		List<ConfigurationFile> files = new ArrayList<>(Sources.base().files());
		for (int index = 0; index < shares.size(); index++) {
			String group = (index % 2 == 0) ? "sellers" : "buyers";
			files.add(Sources.file("2" + index + ".ini", "[group " + group + "]\nshare = " + shares.get(index) + "\n"));
		}
		Collections.shuffle(files, random);
		Configuration configuration = ConfigurationReader.read(new ConfigurationSource(files)).get();
		assertThat(share(configuration, "sellers")).isEqualTo(last(shares, 0, 2));
		assertThat(share(configuration, "buyers")).isEqualTo(last(shares, 1, 3));
		assertThat(configuration.group(new GroupName("sellers")).orElseThrow().budget()).isPresent();
	}

	@Property(seed = "3", tries = 300)
	void readsADescriptionBackToTheSameConfiguration(@ForAll("overrides") String override) {
		Configuration configuration = ConfigurationReader.read(Sources.baseWith(override)).get();
		String text = ConfigurationDescription.of(configuration).text();
		ConfigurationSource described = new ConfigurationSource(List.of(Sources.file("all.ini", text)));
		Configuration again = ConfigurationReader.read(described).get();
		assertThat(again).isEqualTo(configuration);
		assertThat(ConfigurationDifference.between(configuration, again).isEmpty()).isTrue();
	}

	@Property(seed = "4", tries = 300)
	void refusesStrayBytesWithoutAnException(@ForAll byte[] bytes, @ForAll("overrides") String text) {
		byte[] mixed = (text + new String(bytes, StandardCharsets.ISO_8859_1)).getBytes(StandardCharsets.ISO_8859_1);
		assertThat(
				ConfigurationReader.read(new ConfigurationSource(List.of(new ConfigurationFile("a", mixed)))).isLeft())
			.isTrue();
	}

	@Provide
	Arbitrary<Spoiled> spoiled() {
		List<Integer> indexes = IntStream.range(0, BASE_LINES.size())
			.filter((index) -> !BASE_LINES.get(index).isBlank())
			.boxed()
			.toList();
		return Combinators.combine(Arbitraries.of(indexes), Arbitraries.of(Slip.values())).as(Spoiled::new);
	}

	@Provide
	Arbitrary<String> overrides() {
		Arbitrary<Integer> number = Arbitraries.integers().between(1, 900_000);
		Arbitrary<String> time = Arbitraries.oneOf(times(900_000, "ms"), times(9999, "s"), times(527_040, "m"),
				times(8784, "h"), times(366, "d"));
		Arbitrary<String> size = Arbitraries.of("B", "KiB");
		return Combinators.combine(number, time, number, size, Arbitraries.integers().between(1, 255))
			.as((count, duration, bytes, byteUnit, octet) -> """
					[group buyers]
					share = %1$d
					budget_tokens = %1$d
					budget_period = %2$s
					queue_bound = %5$d
					[program-rule offers]
					group = buyers
					prefix = offer-%1$d
					callers = desk
					[limits]
					stream_idle_time = %2$s
					body_bytes = %3$d%4$s
					[upstream vm-1]
					sidecar = [fd00::%5$d]:7000
					[model m]
					cost_cached = %5$d
					""".formatted(count, duration, Math.min(bytes, 200_000), byteUnit, octet));
	}

	private static Arbitrary<String> times(int most, String unit) {
		return Arbitraries.integers().between(1, most).map((amount) -> amount + unit);
	}

	private static long share(Configuration configuration, String group) {
		return configuration.group(new GroupName(group)).orElseThrow().share();
	}

	private static long last(List<Integer> shares, int parity, int standard) {
		return IntStream.range(0, shares.size())
			.filter((index) -> index % 2 == parity)
			.map(shares::get)
			.reduce(standard, (before, after) -> after);
	}

	enum Slip {

		UNKNOWN_NAME, NO_OPERATOR, UNSUITABLE_VALUE, TWICE, NOT_UTF_8;

		byte[] spoil(String line) {
			String spoiled = switch (this) {
				case UNKNOWN_NAME -> line.startsWith("[") ? "[x" + line.substring(1) : "x" + line;
				case NO_OPERATOR -> line.replaceAll("[=\\]]", "");
				case UNSUITABLE_VALUE ->
					line.startsWith("[") ? "[group \u00e9]" : line.replaceAll("= .*", "= \u00e9 \u00e9");
				case TWICE -> line;
				case NOT_UTF_8 -> line;
			};
			String ending = (this == TWICE) ? "\n" + line : "";
			return (spoiled + ending).getBytes(StandardCharsets.UTF_8);
		}

	}

	record Spoiled(int index, Slip slip) {

		int line() {
			return this.index + ((this.slip == Slip.TWICE) ? 2 : 1);
		}

		ConfigurationSource source() {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			for (int index = 0; index < BASE_LINES.size(); index++) {
				String line = BASE_LINES.get(index);
				bytes.writeBytes((index == this.index) ? this.slip.spoil(line) : line.getBytes(StandardCharsets.UTF_8));
				if (index == this.index && this.slip == Slip.NOT_UTF_8) {
					bytes.write(0xff);
				}
				bytes.write('\n');
			}
			return new ConfigurationSource(List.of(new ConfigurationFile("a.ini", bytes.toByteArray())));
		}

	}

}
