package io.lentilslip.standin.engine;

import java.util.Optional;

/**
 * A request as the batching model sees it. The model does not change the prompt's chain.
 *
 * @param number the request's number, unique within one life of the engine
 * @param prompt the tokens of the prompt
 * @param answer the answer that will be generated
 * @param pin whether and how long the sequence stays in memory after its end
 */
public record ModelRequest(long number, BlockChain prompt, AnswerPlan answer, Optional<Pin> pin) {

	/**
	 * Returns the blocks that the request will need at its end.
	 * @return the number of blocks
	 */
	int blocks() {
		return BlockChain.blocksFor(this.prompt.tokens() + this.answer.count());
	}

	/**
	 * Returns this request without its pin, if that is of a session.
	 * @param session the session's name
	 * @return a request that does not pin the session
	 */
	ModelRequest withoutPinOf(String session) {
		if (this.pin.filter((wish) -> wish.session().equals(session)).isEmpty()) {
			return this;
		}
		return new ModelRequest(this.number, this.prompt, this.answer, Optional.empty());
	}

	/**
	 * The wish to keep a sequence in memory.
	 *
	 * @param session the session's name
	 * @param leaseNanos the nanoseconds after which the pin ends by itself, if it does
	 */
	public record Pin(String session, Optional<Long> leaseNanos) {

	}

}
