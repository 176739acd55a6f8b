package io.lentilslip.application.command;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilslip.core.configuration.Endpoint;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;

/**
 * The options and arguments of one call of a command, read as the types they stand for.
 * Immutable and safe for use by several threads.
 */
public final class Arguments {

	private final CommandLine line;

	/**
	 * Creates arguments.
	 * @param line what was parsed
	 */
	Arguments(CommandLine line) {
		this.line = line;
	}

	/**
	 * Returns whether an option is given.
	 * @param option the long name of the option
	 * @return whether it stands on the command line
	 */
	boolean has(String option) {
		return this.line.hasOption(option);
	}

	/**
	 * Returns the text of an option.
	 * @param option the long name of the option
	 * @return the text, or an empty result if the option is not given
	 */
	Optional<String> text(String option) {
		return Optional.ofNullable(this.line.getOptionValue(option));
	}

	/**
	 * Returns how many arguments are not options.
	 * @return the number
	 */
	int count() {
		return this.line.getArgList().size();
	}

	/**
	 * Returns an argument that is not an option.
	 * @param index its place, from 0
	 * @return the text
	 */
	String parameter(int index) {
		return this.line.getArgList().get(index);
	}

	/**
	 * Returns an argument that names a file or folder.
	 * @param index its place, from 0
	 * @return the path
	 * @throws ParseException if the text can't be a path
	 */
	Path path(int index) throws ParseException {
		return toPath(parameter(index));
	}

	/**
	 * Returns a needed option that names a file or folder.
	 * @param option the long name of the option
	 * @return the path
	 * @throws ParseException if the text can't be a path
	 */
	Path path(String option) throws ParseException {
		return toPath(this.line.getOptionValue(option));
	}

	private static Path toPath(String text) throws ParseException {
		try {
			return Path.of(text);
		}
		catch (InvalidPathException ex) {
			throw new ParseException("'" + text + "' is no path");
		}
	}

	/**
	 * Returns a needed option that is an address.
	 * @param option the long name of the option
	 * @return the address
	 * @throws ParseException if the text is no address
	 */
	Endpoint endpoint(String option) throws ParseException {
		return toEndpoint(option, this.line.getOptionValue(option));
	}

	/**
	 * Returns the addresses of an option that may stand several times.
	 * @param option the long name of the option
	 * @return the addresses in their order
	 * @throws ParseException if one of the texts is no address
	 */
	List<Endpoint> endpoints(String option) throws ParseException {
		List<Endpoint> endpoints = new ArrayList<>();
		for (String text : Optional.ofNullable(this.line.getOptionValues(option)).orElse(new String[0])) {
			endpoints.add(toEndpoint(option, text));
		}
		return List.copyOf(endpoints);
	}

	private static Endpoint toEndpoint(String option, String text) throws ParseException {
		return Endpoint.parse(text)
			.orElseThrow(() -> new ParseException(
					"--" + option + ": found '" + text + "', expected a numeric IP and a port such as 10.0.0.7:8080"));
	}

	/**
	 * Returns the pairs of an option that has the form {@code NAME=VALUE} and may stand
	 * several times.
	 * @param option the long name of the option
	 * @return the values by their names
	 * @throws ParseException if a text is no pair, or a name stands twice
	 */
	Map<String, String> pairs(String option) throws ParseException {
		Map<String, String> pairs = new LinkedHashMap<>();
		for (String text : Optional.ofNullable(this.line.getOptionValues(option)).orElse(new String[0])) {
			int equals = text.indexOf('=');
			if (equals < 1) {
				throw new ParseException(
						"--" + option + ": found '" + text + "', expected section.key=value such as listen.admin=...");
			}
			if (pairs.putIfAbsent(text.substring(0, equals), text.substring(equals + 1)) != null) {
				throw new ParseException("--" + option + ": " + text.substring(0, equals) + " stands twice");
			}
		}
		return pairs;
	}

}
