package io.lentilslip.application.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.List;

/**
 * Where a command reads from and writes to. Results go to {@code out} alone, so that they
 * can be piped; all else goes to {@code err}. As safe for use by several threads as its
 * streams are.
 *
 * @param in what the command may read
 * @param out where results go
 * @param err where errors and progress go
 */
public record Console(InputStream in, PrintStream out, PrintStream err) {

	/**
	 * Returns the console of this Java process.
	 * @return the standard streams
	 */
	public static Console ofSystem() {
		return new Console(System.in, System.out, System.err);
	}

	/**
	 * Writes an error.
	 * @param message what failed, for people
	 */
	void error(String message) {
		this.err.println("lentilslip: " + message);
	}

	/**
	 * Writes problems, one a line.
	 * @param problems the problems
	 */
	void problems(List<?> problems) {
		problems.forEach(this.err::println);
	}

}
