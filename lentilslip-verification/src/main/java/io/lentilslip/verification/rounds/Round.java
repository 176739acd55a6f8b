package io.lentilslip.verification.rounds;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * One whole score of a site. Immutable and safe for use by several threads.
 *
 * @param began when it began
 * @param site the site
 * @param score its score, from 0 to 1
 * @param days the scores of its standard days
 */
record Round(Instant began, String site, double score, List<Day> days) {

	/**
	 * What the names of days that are drawn for one score begin with.
	 */
	private static final String DRAWN = "fresh-";

	Round {
		days = List.copyOf(days);
	}

	/**
	 * Reads the whole scores of a journal. Other plays, and scores that were broken off,
	 * are passed over.
	 * @param journal the folder with one file for each play
	 * @return the rounds in order of time
	 * @throws IOException if a file can't be read or is no JSON
	 */
	static List<Round> read(Path journal) throws IOException {
		List<Path> files;
		try (Stream<Path> all = Files.list(journal)) {
			files = all.filter((file) -> file.toString().endsWith(".json")).toList();
		}
		List<Round> rounds = new ArrayList<>();
		for (Path file : files) {
			of(new ObjectMapper().readTree(file.toFile())).ifPresent(rounds::add);
		}
		rounds.sort(Comparator.comparing(Round::began));
		return rounds;
	}

	private static Optional<Round> of(JsonNode play) {
		if (!play.path("cmd").asText().equals("score") || !play.path("ok").asBoolean() || !play.hasNonNull("score")) {
			return Optional.empty();
		}
		List<Day> days = new ArrayList<>();
		for (JsonNode day : play.path("days")) {
			if (!day.path("name").asText().startsWith(DRAWN)) {
				days.add(new Day(day.path("name").asText(), day.path("score").asDouble()));
			}
		}
		return Optional.of(new Round(Instant.parse(play.path("at").path(0).asText()), play.path("site").asText(),
				play.path("score").asDouble(), days));
	}

	/**
	 * One day of a score. Immutable.
	 *
	 * @param name its name
	 * @param score its score, from 0 to 1
	 */
	record Day(String name, double score) {

	}

}
