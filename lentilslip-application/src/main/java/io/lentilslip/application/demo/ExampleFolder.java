package io.lentilslip.application.demo;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;

/**
 * The folder of the example site Barca, as it is bundled with the binary. Immutable and
 * safe for use by several threads.
 *
 * @param source the files
 */
record ExampleFolder(ConfigurationSource source) {

	/**
	 * The files of the folder. A resource folder can't be listed in a jar, so that they
	 * are named here; a test compares the names with the folder.
	 */
	static final List<String> NAMES = List.of("10-site.ini", "20-groups.ini", "30-models.ini", "40-services.ini",
			"50-upstreams.ini", "90-boat-show.ini");

	private static final String RESOURCES = "/examples/barca/";

	/**
	 * Returns the folder as it is bundled.
	 * @return the folder
	 */
	static ExampleFolder bundled() {
		List<ConfigurationFile> files = new ArrayList<>();
		for (String name : NAMES) {
			files.add(new ConfigurationFile(name, read(name)));
		}
		return new ExampleFolder(new ConfigurationSource(files));
	}

	private static byte[] read(String name) {
		try (InputStream input = ExampleFolder.class.getResourceAsStream(RESOURCES + name)) {
			return input.readAllBytes();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns this folder with one more file, which overrides keys of the earlier ones.
	 * @param name the file's name, behind those of the other files in their order
	 * @param text the text of the file
	 * @return the folder
	 */
	ExampleFolder with(String name, String text) {
		List<ConfigurationFile> files = new ArrayList<>(this.source.files());
		files.add(new ConfigurationFile(name, text.getBytes(StandardCharsets.UTF_8)));
		return new ExampleFolder(new ConfigurationSource(files));
	}

}
