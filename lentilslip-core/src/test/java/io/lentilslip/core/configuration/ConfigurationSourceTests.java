package io.lentilslip.core.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class ConfigurationSourceTests {

	@Test
	void ordersFilesByTheBytesOfTheirNames() {
		ConfigurationSource source = new ConfigurationSource(List.of(file("é.ini", ""), file("a.ini", ""),
				file("Z.ini", ""), file("10.ini", ""), file("9.ini", "")));
		assertThat(source.files()).extracting(ConfigurationFile::name)
			.containsExactly("10.ini", "9.ini", "Z.ini", "a.ini", "é.ini");
	}

	@Test
	void digestSeparatesNamesFromContents() {
		ConfigurationSource source = new ConfigurationSource(List.of(file("a", "b"), file("c", "")));
		ConfigurationSource reordered = new ConfigurationSource(List.of(file("c", ""), file("a", "b")));
		ConfigurationSource shifted = new ConfigurationSource(List.of(file("a", ""), file("c", "b")));
		assertThat(reordered.digest()).isEqualTo(source.digest());
		assertThat(shifted.digest()).isNotEqualTo(source.digest());
	}

	@Test
	void rejectsDuplicateFileNames() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> new ConfigurationSource(List.of(file("a", ""), file("a", "b"))));
	}

	private static ConfigurationFile file(String name, String text) {
		return new ConfigurationFile(name, text.getBytes(StandardCharsets.UTF_8));
	}

}
