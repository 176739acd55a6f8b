package io.lentilslip.application.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.lentilslip.application.story.RequestStory;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Tells one request's story from the logs of all processes. Stateless and safe for use by
 * several threads.
 */
final class ExplainCommand implements Command {

	// Any byte is a character of it, so a line that another program spoiled stops
	// nothing.
	private static final Charset CHARSET = StandardCharsets.ISO_8859_1;

	@Override
	public List<String> words() {
		return List.of("explain");
	}

	@Override
	public List<String> parameters() {
		return List.of("REQUEST-ID", "FILE...");
	}

	@Override
	public boolean repeatsLast() {
		return true;
	}

	@Override
	public String description() {
		return """
				Tells what became of one request at all processes, from their log lines.
				Prints each event of the request in order of time, and below it what its process believed then: the
				routes in force, what it reached, when it last slept, lost or found a peer, and what it knew of the
				upstream. Reads the files, or standard input where none is named.""";
	}

	@Override
	public Options options() {
		return new Options();
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException {
		RequestStory story = new RequestStory(arguments.parameter(0));
		try {
			if (arguments.count() == 1) {
				read(new InputStreamReader(console.in(), CHARSET), story);
			}
			for (int index = 1; index < arguments.count(); index++) {
				read(arguments.path(index), story);
			}
		}
		catch (IOException ex) {
			console.error("can't read the log: " + ex.getMessage());
			return ExitCode.FAILED;
		}
		if (!story.isKnown()) {
			console.error("no line names the request " + arguments.parameter(0) + "; " + story.unread()
					+ " lines were no events of lentilslip");
			return ExitCode.FAILED;
		}
		console.out().print(story.text());
		return ExitCode.OK;
	}

	private static void read(Path file, RequestStory story) throws IOException {
		try (Reader reader = Files.newBufferedReader(file, CHARSET)) {
			read(reader, story);
		}
	}

	private static void read(Reader reader, RequestStory story) throws IOException {
		BufferedReader lines = new BufferedReader(reader);
		String line = lines.readLine();
		while (line != null) {
			story.add(line);
			line = lines.readLine();
		}
	}

}
