package io.lentilslip.settings.folder;

import io.lentilslip.core.configuration.ConfigurationSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationDescriptionTests {

	@Test
	void namesTheFileAndLineOfEachKey() {
		ConfigurationSource source = Sources.baseWith("\n[group sellers]\nshare = 7\n");
		String text = ConfigurationDescription.of(ConfigurationReader.read(source).get()).textWithOrigins(source);
		assertThat(text).contains("""
				[group sellers]
				# 20-more.ini:3
				share = 7
				# 10-base.ini:7
				budget_tokens = 5000
				""").contains("""
				# default
				retry_percent = 10
				""");
	}

}
