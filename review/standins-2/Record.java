package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line each, in record.txt of a case. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	/** Whether lines of requests are left out, in a long run of them. */
	volatile boolean quiet;

	private final long start = System.nanoTime();

	Record(Path folder) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
	}

	synchronized void add(String text) {
		if (this.quiet && (text.startsWith("send") || text.startsWith("run ") || text.startsWith("answered"))) {
			return;
		}
		this.out.printf("%8.3f  %s%n", (System.nanoTime() - this.start) / 1e9, text);
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
