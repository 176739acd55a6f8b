package io.lentilslip.settings.ini;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vavr.control.Either;
import org.assertj.core.groups.Tuple;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class IniFileTests {

	// Windows editors end lines with two characters, and old ones with one. Each ending
	// counts once, whatever stands between the keys; comments and long lines don't shift
	// the numbers that follow.
	@ParameterizedTest
	@ValueSource(strings = { "\n", "\r\n", "\r" })
	void knowsTheLineOfEachKey(String ending) {
		String text = String.join(ending, "# one", "", "; three", "[a]", "first = 1", "# six", "#" + "x".repeat(20_000),
				"second = " + "y".repeat(20_000), "   ", "  third=3  ");
		IniSection section = read(text).get().sections().getFirst();
		assertThat(section.line()).isEqualTo(4);
		assertThat(section.entries().values()).extracting(IniEntry::line).containsExactly(5, 8, 10);
		assertThat(section.entry("second")).map(IniEntry::value).map(String::length).contains(20_000);
		assertThat(section.entry("third")).map(IniEntry::value).contains("3");
	}

	@Test
	void goesOnBehindEachError() {
		String text = "[a]\nnonsense\nkey = 1\n[b\nother = 2\nmore nonsense\n[c]\nkey = 1\nkey = 2\n";
		assertThat(read(text).getLeft()).extracting(ConfigurationProblem::line, ConfigurationProblem::section)
			.containsExactly(Tuple.tuple(2, "a"), Tuple.tuple(4, "a"), Tuple.tuple(6, "a"), Tuple.tuple(9, "c"));
	}

	@Test
	void keepsWhatOtherDialectsWouldTakeForMoreThanText() {
		String text = "[a]\nbackslash = x\\\nescape = \\t\\u0041\nhash = a # b ; c\nvariable = ${HOME}\n<include.ini>=1\n";
		IniSection section = read(text).get().sections().getFirst();
		assertThat(section.entries().values()).extracting(IniEntry::value)
			.containsExactly("x\\", "\\t\\u0041", "a # b ; c", "${HOME}", "1");
	}

	private static Either<List<ConfigurationProblem>, IniFile> read(String text) {
		Problems problems = new Problems();
		IniFile file = IniFile.read("a.ini", text.getBytes(StandardCharsets.UTF_8), problems);
		return problems.orElse(() -> file);
	}

}
