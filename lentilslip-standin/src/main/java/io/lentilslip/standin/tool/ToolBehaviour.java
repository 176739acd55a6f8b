package io.lentilslip.standin.tool;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a tool stand-in does with a request. Implementations are immutable and safe for
 * use by several threads.
 */
public sealed interface ToolBehaviour {

	/**
	 * Returns the behaviour that a control call asks for.
	 * @param control the body of the call, such as
	 * {@code {"behaviour":"fail","status":500}}
	 * @return the behaviour, or an empty result if the body names none
	 */
	static Optional<ToolBehaviour> parse(JsonNode control) {
		return switch (control.path("behaviour").asText()) {
			case "answer" -> Optional.of(new Answer());
			case "delay" -> Optional.of(new Delay(Duration.ofMillis(Math.max(0, control.path("delay_ms").asInt()))));
			case "hang" -> Optional.of(new Hang());
			case "fail" -> Optional.of(new Fail(control.path("status").asInt(Fail.DEFAULT_STATUS)));
			case "drop_before_run" -> Optional.of(new DropBeforeRun());
			case "drop_after_run" -> Optional.of(new DropAfterRun());
			case "cut_answer" -> Optional.of(new CutAnswer());
			default -> Optional.empty();
		};
	}

	/**
	 * Run the request and answer.
	 */
	record Answer() implements ToolBehaviour {

	}

	/**
	 * Run the request and answer after a delay.
	 *
	 * @param delay the time between run and answer
	 */
	record Delay(Duration delay) implements ToolBehaviour {

		/**
		 * Creates the behaviour.
		 * @param delay the time between run and answer
		 */
		public Delay {
			Objects.requireNonNull(delay, "delay");
		}

	}

	/**
	 * Run the request and don't answer until told to.
	 */
	record Hang() implements ToolBehaviour {

	}

	/**
	 * Run the request and answer by an error.
	 *
	 * @param status the status
	 */
	record Fail(int status) implements ToolBehaviour {

		/**
		 * The status if none is named.
		 */
		public static final int DEFAULT_STATUS = 500;

	}

	/**
	 * Reset the connection without running the request.
	 */
	record DropBeforeRun() implements ToolBehaviour {

	}

	/**
	 * Run the request and reset the connection in place of an answer.
	 */
	record DropAfterRun() implements ToolBehaviour {

	}

	/**
	 * Run the request and reset the connection in the middle of the answer.
	 */
	record CutAnswer() implements ToolBehaviour {

	}

}
