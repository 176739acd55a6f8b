package io.lentilslip.application.command;

import java.util.List;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * One command of the command line. Implementations are safe for use by several threads.
 */
public sealed interface Command
		permits EntryCommand, SidecarCommand, RelayCommand, ConfigCheckCommand, ConfigDiffCommand, ConfigPublishCommand,
		ConfigShowCommand, StatusCommand, ExplainCommand, KeyHashCommand, DemoCommand, StandInCommand, VersionCommand {

	/**
	 * Returns the words by which the command is called.
	 * @return one or two words
	 */
	List<String> words();

	/**
	 * Returns the names of the arguments besides options, as the help shows them.
	 * @return the names
	 */
	default List<String> parameters() {
		return List.of();
	}

	/**
	 * Returns whether the last of the parameters may stand any number of times, also not
	 * at all.
	 * @return whether it may
	 */
	default boolean repeatsLast() {
		return false;
	}

	/**
	 * Returns what the command does, as the help shows it.
	 * @return one or more sentences; the first is the summary in the list of commands
	 */
	String description();

	/**
	 * Returns the options of the command, without {@code --help}.
	 * @return new options
	 */
	Options options();

	/**
	 * Runs the command.
	 * @param arguments what the command line says
	 * @param console where the command reads and writes
	 * @return how it ended
	 * @throws ParseException if the command line is wrong; nothing was done
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException;

}
