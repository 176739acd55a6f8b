package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The record of a case: what was sent, answered and run. Safe for use by several threads.
 */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	Record(String folder) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void line(String kind, String text) {
		this.out.printf("%7d %-7s %s%n", Wait.now(), kind, text);
	}

	synchronized void verdict(String text) {
		this.out.println(text);
		System.out.println(text);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
