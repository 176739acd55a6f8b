package io.lentilslip.application.story;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lentilslip.core.notice.FieldName;

/**
 * One event of a process's log. Immutable and safe for use by several threads.
 *
 * @param time when it was written, by the clock of its VM
 * @param number the number of the event
 * @param name the name of the event
 * @param fields its fields in the order of the line, without those above
 */
record LogLine(Instant time, int number, String name, Map<String, String> fields) {

	private static final String TIME = "@timestamp";

	private static final String MESSAGE = "message";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	LogLine {
		fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
	}

	/**
	 * Reads a line. What stands before the JSON, as collectors of logs put there, is
	 * passed over.
	 * @param text the line
	 * @return the event, or empty if the line is none
	 */
	static Optional<LogLine> of(String text) {
		int begin = text.indexOf('{');
		if (begin < 0) {
			return Optional.empty();
		}
		try {
			return event(MAPPER.readTree(text.substring(begin)));
		}
		catch (JsonProcessingException | DateTimeException ex) {
			// A line of another program, or one that was cut: the caller counts it.
			return Optional.empty();
		}
	}

	private static Optional<LogLine> event(JsonNode node) {
		String[] words = node.path(MESSAGE).asText().split(" ");
		if (words.length != 2 || !words[0].matches("E\\d{4}") || !node.hasNonNull(TIME)) {
			return Optional.empty();
		}
		Map<String, String> fields = new LinkedHashMap<>();
		for (FieldName name : FieldName.values()) {
			if (node.hasNonNull(name.label())) {
				fields.put(name.label(), node.path(name.label()).asText());
			}
		}
		Instant time = OffsetDateTime.parse(node.path(TIME).asText()).toInstant();
		return Optional.of(new LogLine(time, Integer.parseInt(words[0].substring(1)), words[1], fields));
	}

	/**
	 * Returns a field.
	 * @param name the name
	 * @return the value, or an empty text if the line has none
	 */
	String field(FieldName name) {
		return this.fields.getOrDefault(name.label(), "");
	}

	String process() {
		return field(FieldName.PROCESS);
	}

}
