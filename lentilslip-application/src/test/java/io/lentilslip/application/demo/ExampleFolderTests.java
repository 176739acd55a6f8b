package io.lentilslip.application.demo;

import java.nio.file.Path;

import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.settings.folder.ConfigurationFolder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ExampleFolderTests {

	@Test
	void bundledFilesAreThoseOfTheFolder() {
		ConfigurationSource folder = new ConfigurationFolder(Path.of("..", "examples", "barca")).readSource().get();
		assertThat(ExampleFolder.bundled().source()).isEqualTo(folder);
	}

}
