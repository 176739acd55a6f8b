package io.lentilslip.settings.folder;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationFolderTests {

	@TempDir
	private Path path;

	@Test
	void readsIniFilesAloneInTheOrderOfTheirNames() {
		write("20.ini", "[limits]\n");
		write("10.ini", Sources.BASE);
		write("README.md", "text");
		write(".hidden.ini", "nonsense");
		write("30.ini~", "nonsense");
		ConfigurationFolder folder = new ConfigurationFolder(this.path);
		assertThat(folder.readSource().get().files()).extracting(ConfigurationFile::name)
			.containsExactly("10.ini", "20.ini");
		assertThat(folder.readConfiguration()).isEqualTo(ConfigurationReader.read(Sources.base()));
	}

	// An editor writes a file while the folder is read, be it a new one or one with as
	// many
	// bytes as before. The first reading sees the old bytes and the second the new ones;
	// published as read, two files might not belong together. The operator is told which
	// file moved and asks again.
	@ParameterizedTest
	@ValueSource(strings = { "10.ini", "20.ini" })
	void refusesAFolderThatChangesWhileItIsRead(String changing) {
		write("10.ini", Sources.BASE);
		ConfigurationFolder folder = new ConfigurationFolder(this.path);
		Queue<String> writes = new ArrayDeque<>(List.of(Sources.BASE.replace("share = 2", "share = 7"),
				Sources.BASE.replace("share = 2", "share = 8")));
		Either<ConfigurationProblem, ConfigurationSource> result = folder.readTwice(() -> {
			Either<ConfigurationProblem, ConfigurationSource> reading = folder.readOnce();
			write(changing, writes.remove());
			return reading;
		});
		assertThat(result.getLeft()).hasToString(this.path + ": found " + changing
				+ " changing while the folder was read, expected a folder that stays the same while it is read");
	}

	@Test
	void refusesAFolderThatIsMissingEmptyOrOversized() {
		ConfigurationFolder folder = new ConfigurationFolder(this.path);
		assertThat(folder.readSource().getLeft()).singleElement()
			.hasToString(this.path + ": found no .ini file, expected at least one");
		assertThat(new ConfigurationFolder(this.path.resolve("none")).readSource().getLeft()).singleElement()
			.asString()
			.contains("NoSuchFileException");
		write("10.ini", "#".repeat((int) ConfigurationReader.MAXIMUM_BYTES + 1));
		assertThat(folder.readSource().getLeft()).singleElement()
			.hasToString(this.path + ": found more than that, expected at most 256 files with 4MiB in all");
	}

	@Test
	void refusesAFolderInPlaceOfAFile() throws IOException {
		Files.createDirectory(this.path.resolve("10.ini"));
		assertThat(new ConfigurationFolder(this.path).readSource().isLeft()).isTrue();
	}

	private void write(String name, String text) {
		try {
			Files.writeString(this.path.resolve(name), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
