package io.lentilslip.application;

import io.lentilslip.application.command.CommandLineTool;
import io.lentilslip.application.command.Console;

/**
 * The entry point of the one binary. Stateless and safe for use by several threads.
 */
public final class LentilslipApplication {

	private LentilslipApplication() {
	}

	/**
	 * Runs the command that the arguments name and ends the process with its exit code.
	 * @param arguments the arguments of the command line
	 */
	public static void main(String[] arguments) {
		System.exit(CommandLineTool.standard().run(arguments, Console.ofSystem()).value());
	}

}
