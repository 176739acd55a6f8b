package io.lentilslip.application.command;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Properties;

import org.apache.commons.cli.Options;

/**
 * Tells the version of the binary. Stateless and safe for use by several threads.
 */
final class VersionCommand implements Command {

	private static final String RESOURCE = "/io/lentilslip/application/version.properties";

	@Override
	public List<String> words() {
		return List.of("version");
	}

	@Override
	public String description() {
		return "Tells the version of lentilslip and of the JDK it runs on.";
	}

	@Override
	public Options options() {
		return new Options();
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) {
		Properties properties = new Properties();
		try (InputStream input = VersionCommand.class.getResourceAsStream(RESOURCE)) {
			properties.load(input);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		console.out().println("lentilslip " + properties.getProperty("version") + " (JDK " + Runtime.version() + ")");
		return ExitCode.OK;
	}

}
