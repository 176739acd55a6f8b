package io.lentilslip.application.status;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lentilslip.client.http.Exchange;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.core.configuration.Endpoint;
import io.vavr.control.Either;
import okhttp3.Request;

/**
 * What one process says of itself at its admin port. Immutable and safe for use by
 * several threads.
 *
 * @param address the admin port that was asked
 * @param status why it did not answer on the left, or its state on the right
 * @param groups what each group has used, as this process counted it
 */
public record ProcessReport(Endpoint address, Either<String, JsonNode> status, Map<String, GroupUse> groups) {

	private static final int OK = 200;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Pattern SAMPLE = Pattern
		.compile("(?m)^(lentilslip_\\w+)\\{[^}]*?\\bgroup=\"([^\"]*)\"[^}]*}\\s+(\\S+)$");

	/**
	 * Asks a process.
	 * @param sender what sends the questions
	 * @param address the admin port of the process
	 * @return the report
	 */
	public static ProcessReport ask(HttpSender sender, Endpoint address) {
		Either<String, JsonNode> status = get(sender, address, "/status").flatMap(ProcessReport::parse);
		if (status.isLeft()) {
			return new ProcessReport(address, status, Map.of());
		}
		return get(sender, address, "/metrics").fold(
				(reason) -> new ProcessReport(address, Either.left("metrics: " + reason), Map.of()),
				(exposition) -> new ProcessReport(address, status, groups(exposition)));
	}

	private static Either<String, String> get(HttpSender sender, Endpoint address, String path) {
		Exchange exchange = sender.send(new Request.Builder().url("http://" + address + path))
			.toCompletableFuture()
			.join();
		return switch (exchange) {
			case Exchange.Answered answer when answer.status() == OK -> Either.right(answer.text());
			case Exchange.Answered answer -> Either.left("status " + answer.status());
			case Exchange.Unanswered unanswered -> Either.left(unanswered.reason());
		};
	}

	private static Either<String, JsonNode> parse(String text) {
		try {
			JsonNode node = MAPPER.readTree(text);
			return node.isObject() ? Either.right(node) : Either.left("unreadable answer");
		}
		catch (JsonProcessingException ex) {
			return Either.left("unreadable answer");
		}
	}

	/**
	 * Reads the use of groups from metrics in the Prometheus text format.
	 * @param exposition the metrics
	 * @return the use by the groups' names
	 */
	static Map<String, GroupUse> groups(String exposition) {
		Map<String, GroupUse> groups = new TreeMap<>();
		Matcher sample = SAMPLE.matcher(exposition);
		while (sample.find()) {
			GroupUse use = use(sample.group(1), (long) Double.parseDouble(sample.group(3)));
			groups.merge(sample.group(2), use, GroupUse::plus);
		}
		groups.values().removeIf(GroupUse.NONE::equals);
		return groups;
	}

	private static GroupUse use(String metric, long value) {
		return switch (metric) {
			case "lentilslip_calls_total" -> new GroupUse(value, 0, 0, 0);
			case "lentilslip_prompt_tokens_total" -> new GroupUse(0, value, 0, 0);
			case "lentilslip_cached_prompt_tokens_total" -> new GroupUse(0, 0, value, 0);
			case "lentilslip_generated_tokens_total" -> new GroupUse(0, 0, 0, value);
			default -> GroupUse.NONE;
		};
	}

	/**
	 * Returns whether the process answered.
	 * @return whether its state is known
	 */
	public boolean hasAnswered() {
		return this.status.isRight();
	}

}
