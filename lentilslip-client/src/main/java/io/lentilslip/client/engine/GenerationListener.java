package io.lentilslip.client.engine;

/**
 * What is told of a generation, in order, by one thread at a time. Exactly one of
 * {@link #finished} and {@link #failed} comes, last. The methods must not block, for the
 * answer is not read meanwhile and {@link Generation#cancel()} waits for them.
 */
public interface GenerationListener {

	/**
	 * The engine runs the request.
	 */
	void started();

	/**
	 * Some more text was generated.
	 * @param text the text that follows the text before it
	 */
	void token(String text);

	/**
	 * The answer is whole.
	 * @param end how it ended
	 */
	void finished(GenerationEnd end);

	/**
	 * No more of the answer comes.
	 * @param failure what failed
	 */
	void failed(EngineFailure failure);

}
