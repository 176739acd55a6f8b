package io.lentilslip.settings.folder;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.settings.ini.ValueText;
import io.vavr.control.Either;

/**
 * A folder of configuration files: those whose names end in {@code .ini} and do not begin
 * with a dot; all else in the folder is left out. The folder is read twice. If an editor
 * or a checkout writes while it is read, the two readings differ, and the folder is
 * refused rather than published half old and half new. A writer that is idle over both
 * readings can't be told from one that is done. Safe for use by several threads.
 */
public final class ConfigurationFolder {

	private static final String PATTERN = "[!.]*.ini";

	private final Path path;

	/**
	 * Creates a folder.
	 * @param path where the folder is
	 */
	public ConfigurationFolder(Path path) {
		this.path = Objects.requireNonNull(path, "path");
	}

	/**
	 * Reads the files of the folder and the configuration they make up.
	 * @return all problems on the left, or the configuration on the right
	 */
	public Either<List<ConfigurationProblem>, Configuration> readConfiguration() {
		return readSource().flatMap(ConfigurationReader::read);
	}

	/**
	 * Reads the files of the folder without looking into them.
	 * @return the problems on the left, or the files on the right
	 */
	public Either<List<ConfigurationProblem>, ConfigurationSource> readSource() {
		return readTwice(this::readOnce).mapLeft(List::of);
	}

	/**
	 * Reads twice and compares.
	 * @param reading reads the folder once
	 * @return the problem on the left, or what both readings gave on the right
	 */
	Either<ConfigurationProblem, ConfigurationSource> readTwice(
			Supplier<Either<ConfigurationProblem, ConfigurationSource>> reading) {
		Either<ConfigurationProblem, ConfigurationSource> first = reading.get();
		if (first.isLeft()) {
			return first;
		}
		return reading.get().flatMap((second) -> compare(first.get(), second));
	}

	private Either<ConfigurationProblem, ConfigurationSource> compare(ConfigurationSource first,
			ConfigurationSource second) {
		if (first.equals(second)) {
			return Either.right(second);
		}
		List<ConfigurationFile> changed = new ArrayList<>(first.files());
		changed.removeAll(second.files());
		List<ConfigurationFile> added = new ArrayList<>(second.files());
		added.removeAll(first.files());
		changed.addAll(added);
		return Either.left(problem(changed.getFirst().name() + " changing while the folder was read",
				"a folder that stays the same while it is read"));
	}

	/**
	 * Reads the folder once.
	 * @return the problem on the left, or the files on the right
	 */
	Either<ConfigurationProblem, ConfigurationSource> readOnce() {
		List<ConfigurationFile> files = new ArrayList<>();
		long room = ConfigurationReader.MAXIMUM_BYTES;
		try (DirectoryStream<Path> paths = Files.newDirectoryStream(this.path, PATTERN)) {
			for (Path file : paths) {
				byte[] bytes = readUpTo(room + 1, file);
				room -= bytes.length;
				files.add(new ConfigurationFile(file.getFileName().toString(), bytes));
				if (room < 0 || files.size() > ConfigurationReader.MAXIMUM_FILES) {
					return Either.left(problem("more than that", "at most " + ConfigurationReader.MAXIMUM_FILES
							+ " files with " + ValueText.ofBytes(ConfigurationReader.MAXIMUM_BYTES) + " in all"));
				}
			}
		}
		catch (IOException ex) {
			return Either.left(problem(ex.toString(), "a folder whose .ini files can be read"));
		}
		if (files.isEmpty()) {
			return Either.left(problem("no .ini file", "at least one"));
		}
		return Either.right(new ConfigurationSource(files));
	}

	private static byte[] readUpTo(long bytes, Path file) throws IOException {
		try (InputStream input = Files.newInputStream(file)) {
			return input.readNBytes(Math.toIntExact(bytes));
		}
	}

	private ConfigurationProblem problem(String found, String expected) {
		return ConfigurationProblem.ofFile(this.path.toString(), found, expected);
	}

}
