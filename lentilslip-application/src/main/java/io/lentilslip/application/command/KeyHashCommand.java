package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.lentilslip.core.identity.Digest;
import org.apache.commons.cli.Options;

/**
 * Makes the line of a caller section from a caller's key. The key is read from standard
 * input: on the command line, other users of the machine and the shell's history would
 * see it. Stateless and safe for use by several threads.
 */
final class KeyHashCommand implements Command {

	private static final int LONGEST_KEY = 1024;

	@Override
	public List<String> words() {
		return List.of("key", "hash");
	}

	@Override
	public String description() {
		return """
				Reads a caller's key from standard input and prints its SHA-256.
				The line that it prints belongs in the section [caller NAME] of the configuration.""";
	}

	@Override
	public Options options() {
		return new Options();
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) {
		byte[] bytes;
		try {
			bytes = console.in().readNBytes(LONGEST_KEY + 2);
		}
		catch (IOException ex) {
			console.error("can't read the key: " + ex.getMessage());
			return ExitCode.FAILED;
		}
		String key = new String(bytes, StandardCharsets.UTF_8).replaceFirst("\r?\n\\z", "");
		if (key.length() > LONGEST_KEY || !key.matches("[\\x21-\\x7E]+")) {
			console.error("expected a key of 1 to " + LONGEST_KEY + " visible ASCII characters on one line");
			return ExitCode.REFUSED;
		}
		console.out().println("key_sha256 = " + Digest.of(key.getBytes(StandardCharsets.UTF_8)));
		return ExitCode.OK;
	}

}
