package io.lentilslip.application.demo;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Shows the steps of the demonstration as they happen, each on a line with the seconds
 * since the beginning. Safe for use by several threads.
 */
public final class Progress {

	private static final int PIECES_PER_LINE = 8;

	private final PrintStream stream;

	private final long begin = System.nanoTime();

	/**
	 * Creates a progress display.
	 * @param stream where the steps are shown
	 */
	public Progress(PrintStream stream) {
		this.stream = stream;
	}

	/**
	 * Shows a step.
	 * @param subject what took the step
	 * @param step the step
	 */
	void show(String subject, String step) {
		double seconds = Duration.ofNanos(System.nanoTime() - this.begin).toMillis() / 1000.0;
		this.stream.println(String.format(Locale.ROOT, "%6.2f  %-10s %s", seconds, subject, step));
	}

	/**
	 * Returns a display of streamed text, which shows some pieces on each line.
	 * @param subject whose text it is
	 * @return takes the pieces; used by one thread
	 */
	Consumer<String> ofStream(String subject) {
		StringBuilder line = new StringBuilder();
		int[] pieces = { 0 };
		return (piece) -> {
			line.append(piece);
			pieces[0]++;
			if (pieces[0] % PIECES_PER_LINE == 0) {
				show(subject, "streams: " + line.toString().strip());
				line.setLength(0);
			}
		};
	}

}
