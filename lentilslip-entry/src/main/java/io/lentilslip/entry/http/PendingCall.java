package io.lentilslip.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.verdict.Verdict;

/**
 * A request that waits for its answer. Implementations are confined to the event loop of
 * the exchange.
 */
interface PendingCall {

	/**
	 * Returns the exchange that is answered.
	 * @return the exchange
	 */
	HttpExchange exchange();

	/**
	 * Takes the next part of the answer.
	 * @param text the text that follows
	 */
	default void deliver(String text) {
	}

	/**
	 * Ends the request.
	 * @param outcome how it ended
	 */
	default void complete(CallOutcome outcome) {
		switch (outcome) {
			case CallOutcome.Completed answered -> answer(answered);
			case CallOutcome.Failed failed -> fail(failed.failure());
		}
	}

	/**
	 * Ends the request with its answer.
	 * @param outcome the outcome that has the answer
	 */
	void answer(CallOutcome.Completed outcome);

	/**
	 * Ends the request with the state of a program.
	 * @param view the state
	 */
	default void show(LinkMessage.ProgramView view) {
		fail(unreadable());
	}

	/**
	 * Ends the request without an answer.
	 * @param failure why
	 */
	default void fail(CallFailure failure) {
		exchange().answer(HttpError.of(failure).toAnswer());
	}

	// The answer was given and so the call ran; only this process can't make sense of it.
	private static CallFailure unreadable() {
		return new CallFailure(Verdict.RAN, FailureCause.INTERNAL, "the answer can't be read", Optional.empty());
	}

	private static List<Header> headers(Optional<ProgramName> program, CallOutcome.Completed outcome) {
		List<Header> headers = new ArrayList<>();
		program.ifPresent((name) -> headers.add(new Header(CallHeaders.PROGRAM, name.value())));
		if (outcome.number() > 0) {
			headers.add(new Header(CallHeaders.CALL, Integer.toString(outcome.number())));
		}
		String durability = outcome.durability().name().toLowerCase(Locale.ROOT);
		headers.add(new Header("Lentilslip-Durability", durability));
		return headers;
	}

	/**
	 * A model call whose caller wants the answer whole.
	 *
	 * @param exchange the exchange that is answered
	 * @param shape the objects of the answer
	 */
	record ForWholeChat(HttpExchange exchange, ChatShape shape) implements PendingCall {

		@Override
		public void answer(CallOutcome.Completed outcome) {
			Optional<ObjectNode> whole = ChatMessage.of(outcome.response())
				.map((message) -> this.shape.whole(message, outcome));
			whole.ifPresentOrElse((json) -> this.exchange.answer(success(outcome, json)), () -> fail(unreadable()));
		}

		private HttpAnswer success(CallOutcome.Completed outcome, ObjectNode json) {
			return HttpAnswer.ofJson(HttpAnswer.OK, headers(this.shape.program(), outcome), json);
		}

	}

	/**
	 * A model call whose caller reads the answer as it is generated. The status goes out
	 * with the first text, so that a call that fails before has the status of its
	 * failure. A stream that fails later ends with an error and without the mark of a
	 * whole answer, or its caller would take half of it for all.
	 */
	final class ForStreamedChat implements PendingCall {

		private static final String END = "[DONE]";

		private final HttpExchange exchange;

		private final ChatShape shape;

		private final List<Header> headers;

		private final boolean usageIncluded;

		private final StringBuilder text = new StringBuilder();

		private int sent;

		/**
		 * Creates a call of whose answer nothing was sent.
		 * @param exchange the exchange that is answered
		 * @param shape the objects of the answer
		 * @param headers the headers of the answer
		 * @param usageIncluded whether the stream ends with the tokens taken
		 */
		ForStreamedChat(HttpExchange exchange, ChatShape shape, List<Header> headers, boolean usageIncluded) {
			this.exchange = exchange;
			this.shape = shape;
			this.headers = List.copyOf(headers);
			this.usageIncluded = usageIncluded;
		}

		@Override
		public HttpExchange exchange() {
			return this.exchange;
		}

		@Override
		public void deliver(String more) {
			this.text.append(more);
			sendUpTo(wholeCharacters());
		}

		// An engine may cut its text inside a character that takes two; half of one would
		// reach the caller as a question mark.
		private int wholeCharacters() {
			int length = this.text.length();
			boolean cut = length > 0 && Character.isHighSurrogate(this.text.charAt(length - 1));
			return cut ? length - 1 : length;
		}

		private void sendUpTo(int end) {
			if (end <= this.sent) {
				return;
			}
			begin();
			send(this.shape.text(this.text.substring(this.sent, end)));
			this.sent = end;
		}

		private void begin() {
			if (this.exchange.isStreaming()) {
				return;
			}
			this.exchange.beginStream(this.headers);
			send(this.shape.opening());
		}

		private void send(ObjectNode chunk) {
			this.exchange.sendEvent(chunk.toString());
		}

		@Override
		public void answer(CallOutcome.Completed outcome) {
			ChatMessage.of(outcome.response())
				.filter((message) -> message.text().startsWith(this.text.toString()))
				.ifPresentOrElse((message) -> finish(message, outcome), () -> fail(unreadable()));
		}

		private void finish(ChatMessage message, CallOutcome.Completed outcome) {
			String whole = message.text();
			this.text.append(whole, this.text.length(), whole.length());
			begin();
			sendUpTo(this.text.length());
			this.shape.rest(message).ifPresent(this::send);
			send(this.shape.closing(message, outcome));
			if (this.usageIncluded) {
				send(this.shape.usage(message));
			}
			this.exchange.sendEvent(END);
			this.exchange.endStream();
		}

		@Override
		public void fail(CallFailure failure) {
			if (!this.exchange.isStreaming()) {
				this.exchange.answer(HttpError.of(failure).toAnswer());
				return;
			}
			this.exchange.sendEvent(HttpError.of(failure).toJson().toString());
			this.exchange.endStream();
		}

	}

	/**
	 * A call of a plain service.
	 *
	 * @param exchange the exchange that is answered
	 * @param program the program, if the call belongs to one
	 */
	record ForService(HttpExchange exchange, Optional<ProgramName> program) implements PendingCall {

		@Override
		public void answer(CallOutcome.Completed outcome) {
			if (!(outcome.response() instanceof CallResponse.FromService answer)) {
				fail(unreadable());
				return;
			}
			List<Header> all = new ArrayList<>(ServiceHeaders.toCaller(answer.headers()));
			all.addAll(headers(this.program, outcome));
			this.exchange.answer(new HttpAnswer(answer.status(), all, answer.body()));
		}

	}

	/**
	 * A question for a program, or the wish to end it.
	 *
	 * @param exchange the exchange that is answered
	 * @param program the program
	 */
	record ForProgram(HttpExchange exchange, ProgramName program) implements PendingCall {

		@Override
		public void answer(CallOutcome.Completed outcome) {
			this.exchange.answer(deleted());
		}

		private HttpAnswer deleted() {
			ObjectNode root = Json.object();
			root.put("id", this.program.value());
			root.put("object", "program.deleted");
			root.put("deleted", true);
			return HttpAnswer.ofJson(HttpAnswer.OK, List.of(), root);
		}

		@Override
		public void show(LinkMessage.ProgramView view) {
			this.exchange.answer(HttpAnswer.ofJson(HttpAnswer.OK, List.of(), ProgramShape.of(view)));
		}

	}

}
