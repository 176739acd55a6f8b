package io.lentilslip.settings.folder;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.settings.ini.IniDocument;
import io.lentilslip.settings.ini.IniFile;
import io.lentilslip.settings.ini.Problems;
import io.lentilslip.settings.ini.ValueText;
import io.vavr.control.Either;

/**
 * Reads a configuration from the files of a folder or of a published record. A source is
 * taken whole or refused whole, with all its problems: were the sound half of a source
 * taken, groups could lose their budgets through a typing error at night. The result
 * depends on the bytes of the source alone, so all processes agree on it. Stateless and
 * safe for use by several threads.
 */
public final class ConfigurationReader {

	/**
	 * The most files of a source.
	 */
	public static final int MAXIMUM_FILES = 256;

	/**
	 * The most bytes of a source, all files together.
	 */
	public static final long MAXIMUM_BYTES = 4L << 20;

	private static final String SOURCE = "(all files)";

	private ConfigurationReader() {
	}

	/**
	 * Reads a configuration.
	 * @param source the files
	 * @return all problems on the left, or the configuration on the right
	 */
	public static Either<List<ConfigurationProblem>, Configuration> read(ConfigurationSource source) {
		Problems problems = new Problems();
		if (isOversized(source, problems)) {
			return problems.orElse(() -> null);
		}
		IniDocument document = merge(source, problems);
		Configuration.Builder builder = new ConfigurationAssembly(document, problems).assemble();
		return problems.orElse(builder::build);
	}

	/**
	 * Merges the files of a source without looking at the meaning of their sections.
	 * @param source the files
	 * @param problems where problems are added
	 * @return the merged sections
	 */
	static IniDocument merge(ConfigurationSource source, Problems problems) {
		List<IniFile> files = new ArrayList<>();
		for (ConfigurationFile file : source.files()) {
			files.add(IniFile.read(file.name(), file.bytes(), problems));
		}
		return IniDocument.merge(files, problems);
	}

	private static boolean isOversized(ConfigurationSource source, Problems problems) {
		if (source.files().size() > MAXIMUM_FILES) {
			problems.add(ConfigurationProblem.ofFile(SOURCE, source.files().size() + " files",
					"at most " + MAXIMUM_FILES + " files"));
			return true;
		}
		if (source.size() > MAXIMUM_BYTES) {
			problems.add(ConfigurationProblem.ofFile(SOURCE, source.size() + " bytes",
					"at most " + ValueText.ofBytes(MAXIMUM_BYTES)));
			return true;
		}
		return false;
	}

}
