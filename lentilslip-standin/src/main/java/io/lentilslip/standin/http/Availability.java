package io.lentilslip.standin.http;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The way in which a stand-in takes requests. Implementations are immutable and safe for
 * use by several threads.
 */
public sealed interface Availability {

	/**
	 * Returns the state that a control call asks for.
	 * @param control the body of the call, such as
	 * {@code {"availability":"slow","delay_ms":200}}
	 * @return the state, or an empty result if the body names none
	 */
	static Optional<Availability> parse(JsonNode control) {
		return switch (control.path("availability").asText()) {
			case "up" -> Optional.of(new Up());
			case "slow" -> parseDelay(control).map(Slow::new);
			case "refusing" -> Optional.of(new Refusing());
			case "dropping" -> Optional.of(new Dropping());
			default -> Optional.empty();
		};
	}

	private static Optional<Duration> parseDelay(JsonNode control) {
		JsonNode delay = control.path("delay_ms");
		return (delay.canConvertToInt() && delay.intValue() >= 0) ? Optional.of(Duration.ofMillis(delay.intValue()))
				: Optional.empty();
	}

	/**
	 * Requests are taken at once.
	 */
	record Up() implements Availability {

	}

	/**
	 * Requests take effect only after a delay. A caller that gives up before sees no
	 * effect, and yet it comes.
	 *
	 * @param delay the time between a request's arrival and its effect
	 */
	record Slow(Duration delay) implements Availability {

		/**
		 * Creates the state.
		 * @param delay the time between a request's arrival and its effect
		 */
		public Slow {
			Objects.requireNonNull(delay, "delay");
		}

	}

	/**
	 * Requests are answered by 503 and have no effect.
	 */
	record Refusing() implements Availability {

	}

	/**
	 * Connections are reset when a request arrives, which has no effect.
	 */
	record Dropping() implements Availability {

	}

}
