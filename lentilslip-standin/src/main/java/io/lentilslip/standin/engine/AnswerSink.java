package io.lentilslip.standin.engine;

/**
 * What takes an answer as it is generated. Called on the engine's thread alone, in order;
 * must not block.
 */
interface AnswerSink {

	/**
	 * The request runs from now on.
	 * @param request the request
	 */
	void started(KeptRequest request);

	/**
	 * A token was generated.
	 * @param request the request
	 * @param position the token's position in the whole answer
	 */
	void generated(KeptRequest request, int position);

	/**
	 * The request has ended.
	 * @param request the request in its last state
	 */
	void ended(KeptRequest request);

}
