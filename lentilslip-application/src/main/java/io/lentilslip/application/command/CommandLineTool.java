package io.lentilslip.application.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import io.lentilslip.application.role.StopRequests;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/**
 * The command line as a whole: finds the command that the first words name, parses its
 * options and runs it. A fault of the command line is told with the way to the help, and
 * nothing is done. Immutable and safe for use by several threads.
 */
public final class CommandLineTool {

	private static final String NAME = "lentilslip";

	private static final String HELP = "help";

	private final List<Command> commands;

	/**
	 * Creates a command line.
	 * @param commands the commands that it knows
	 */
	CommandLineTool(List<Command> commands) {
		this.commands = List.copyOf(commands);
	}

	/**
	 * Returns the command line of the one binary, with all commands.
	 * @param stops where requests to stop come from
	 * @return the command line
	 */
	public static CommandLineTool with(StopRequests stops) {
		return new CommandLineTool(List.of(new EntryCommand(stops), new SidecarCommand(stops), new RelayCommand(stops),
				new ConfigCheckCommand(), new ConfigDiffCommand(), new ConfigPublishCommand(), new ConfigShowCommand(),
				new StatusCommand(), new ExplainCommand(), new KeyHashCommand(), new DemoCommand(stops),
				new StandInCommand(stops), new VersionCommand()));
	}

	/**
	 * Runs a command.
	 * @param arguments the arguments of the command line
	 * @param console where the command reads and writes
	 * @return how it ended
	 */
	public ExitCode run(String[] arguments, Console console) {
		List<String> words = Arrays.asList(arguments);
		if (words.isEmpty()) {
			printCommands(console.err());
			return ExitCode.USAGE;
		}
		if (List.of(HELP, "--help", "-h").contains(words.getFirst())) {
			printCommands(console.out());
			return ExitCode.OK;
		}
		Optional<Command> command = find(words);
		if (command.isEmpty()) {
			console.error("there is no command '" + words.stream().limit(2).collect(Collectors.joining(" ")) + "'; see "
					+ NAME + " --help");
			return ExitCode.USAGE;
		}
		return run(command.get(), words, console);
	}

	private Optional<Command> find(List<String> words) {
		return this.commands.stream()
			.filter((command) -> words.size() >= command.words().size()
					&& words.subList(0, command.words().size()).equals(command.words()))
			.findFirst();
	}

	private static ExitCode run(Command command, List<String> words, Console console) {
		List<String> rest = words.subList(command.words().size(), words.size());
		if (rest.contains("--" + HELP) || rest.contains("-h")) {
			printHelp(command, console);
			return ExitCode.OK;
		}
		try {
			return command.run(parse(command, rest), console);
		}
		catch (ParseException ex) {
			console.error(ex.getMessage());
			console.err().println("see " + NAME + " " + String.join(" ", command.words()) + " --help");
			return ExitCode.USAGE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			console.error("interrupted");
			return ExitCode.FAILED;
		}
	}

	private static Arguments parse(Command command, List<String> words) throws ParseException {
		DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
		CommandLine line = parser.parse(command.options(), words.toArray(new String[0]));
		int expected = command.parameters().size();
		int found = line.getArgList().size();
		if (command.repeatsLast() ? (found < expected - 1) : (found != expected)) {
			throw new ParseException("found " + found + " arguments besides options, expected "
					+ ((expected == 0) ? "none" : String.join(" ", command.parameters())));
		}
		return new Arguments(line);
	}

	private void printCommands(PrintStream stream) {
		stream.println("usage: " + NAME + " COMMAND [OPTIONS]");
		stream.println();
		for (Command command : this.commands) {
			String summary = command.description().lines().findFirst().orElse("");
			stream.printf("  %-16s %s%n", String.join(" ", command.words()), summary);
		}
		stream.println();
		stream.println(NAME + " COMMAND --help tells more of a command.");
	}

	private static void printHelp(Command command, Console console) {
		List<String> syntax = new ArrayList<>(List.of(NAME));
		syntax.addAll(command.words());
		syntax.addAll(command.parameters());
		Options options = command.options().addOption(Option.builder("h").longOpt(HELP).desc("show this help").get());
		HelpFormatter formatter = HelpFormatter.builder()
			.setHelpAppendable(new TextHelpAppendable(console.out()))
			.setShowSince(false)
			.get();
		try {
			formatter.printHelp(String.join(" ", syntax), command.description().replace('\n', ' '), options, "", true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
