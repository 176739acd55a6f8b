package io.lentilslip.application;

import io.lentilslip.application.command.CommandLineTool;
import io.lentilslip.application.command.Console;
import io.lentilslip.application.role.StopRequests;
import io.lentilslip.runtime.node.StopSignals;
import sun.misc.Signal;
import sun.misc.SignalHandler;

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
		StopSignals signals = new StopSignals();
		handleSignals((arguments.length > 0) ? arguments[0] : "", signals);
		System.exit(CommandLineTool.with(StopRequests.of(signals)).run(arguments, Console.ofSystem()).value());
	}

	// Before the classes of the commands are loaded, which takes most of a start: until
	// then Java ends a role that is asked to stop with the status of the signal. Other
	// commands keep Java's own handling, so that Ctrl-C ends them.
	private static void handleSignals(String role, StopSignals signals) {
		switch (role) {
			case "relay" -> {
				signals.install();
				// The platform sends it when settings changed; what a relay takes from
				// them does not change during its life.
				Signal.handle(new Signal("HUP"), SignalHandler.SIG_IGN);
			}
			case "entry", "sidecar" -> signals.install();
			default -> {
			}
		}
	}

}
