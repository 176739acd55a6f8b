package io.lentilslip.settings.folder;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.identity.Digest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationDifferenceTests {

	@Test
	void tellsWhatWasAddedRemovedAndChanged() {
		Digest key = Digest.of("another key");
		ConfigurationDifference difference = between(
				"[group sellers]\nshare = 7\n[program-rule drafts]\nremove = true\n"
						+ "[group buyers]\nqueue_bound = 5\n[caller desk]\nkey_sha256 = " + key + "\n");
		assertThat(difference.lines()).containsExactly("added [group buyers] queue_bound = 5",
				"changed [group sellers] share: 2 -> 7",
				"changed [caller desk] key_sha256: " + Digest.of("desk key").hex().substring(0, 12) + "... -> "
						+ key.hex().substring(0, 12) + "...",
				"removed [program-rule drafts] group = sellers", "removed [program-rule drafts] prefix = draft-",
				"removed [program-rule drafts] class = background");
	}

	@Test
	void countsADefaultThatIsSpelledOutAsNoDifference() {
		assertThat(between("[limits]\nretry_percent = 10\n").isEmpty()).isTrue();
	}

	private static ConfigurationDifference between(String override) {
		return ConfigurationDifference.between(read(Sources.base()), read(Sources.baseWith(override)));
	}

	private static Configuration read(ConfigurationSource source) {
		return ConfigurationReader.read(source).get();
	}

}
