package io.lentilslip.standin.engine;

/**
 * Writes an answer as the response of an exchange. Used by the engine's thread alone.
 */
sealed interface AnswerWriter extends AnswerSink {

	/**
	 * Returns the writer that a request asks for.
	 * @param streamed whether the answer is sent token by token
	 * @param exchange where the answer goes
	 * @return a writer
	 */
	static AnswerWriter of(boolean streamed, EngineExchange exchange) {
		return streamed ? new Streamed(exchange) : new Whole(exchange);
	}

	/**
	 * Returns the refusal of a request that was cancelled before it started.
	 * @return the refusal
	 */
	private static RejectedRequestException cancelled() {
		return new RejectedRequestException(503, "cancelled", "the request was cancelled before it started");
	}

	/**
	 * Writes the answer once it is whole.
	 *
	 * @param exchange where the answer goes
	 */
	record Whole(EngineExchange exchange) implements AnswerWriter {

		@Override
		public void started(KeptRequest request) {
		}

		@Override
		public void generated(KeptRequest request, int position) {
		}

		@Override
		public void ended(KeptRequest request) {
			if (request.state() == KeptRequest.State.CANCELLED_UNSTARTED) {
				this.exchange.fail(cancelled());
				return;
			}
			this.exchange.json(200, EngineJson.whole(request));
		}

	}

	/**
	 * Writes the answer token by token, beginning when the request starts.
	 *
	 * @param exchange where the answer goes
	 */
	record Streamed(EngineExchange exchange) implements AnswerWriter {

		private static final String DONE = "[DONE]";

		@Override
		public void started(KeptRequest request) {
			this.exchange.startStream();
			this.exchange.event(EngineJson.first(request).toString());
		}

		@Override
		public void generated(KeptRequest request, int position) {
			if (request.answer().toolCall().isEmpty()) {
				this.exchange.event(EngineJson.token(request, position).toString());
			}
		}

		@Override
		public void ended(KeptRequest request) {
			if (request.state() == KeptRequest.State.CANCELLED_UNSTARTED) {
				this.exchange.fail(cancelled());
				return;
			}
			this.exchange.event(EngineJson.last(request).toString());
			this.exchange.event(EngineJson.lastUsage(request).toString());
			this.exchange.event(DONE);
			this.exchange.endStream();
		}

	}

}
