package io.lentilslip.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts of the work that an engine did, over all its lives. Keeps the newest
 * {@value #MAXIMUM_REQUESTS} names of requests. Safe for use by several threads.
 */
final class EngineCounters {

	private static final int MAXIMUM_REQUESTS = 100_000;

	private final Map<String, Integer> runs = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAXIMUM_REQUESTS;
		}

	};

	private long prefilledTokens;

	private long generatedTokens;

	/**
	 * Counts a run.
	 * @param id the caller's name for the request
	 */
	synchronized void countRun(String id) {
		this.runs.merge(id, 1, Integer::sum);
	}

	/**
	 * Counts the tokens of a step.
	 * @param prefilled the prompt tokens computed in it
	 * @param generated the tokens generated in it
	 */
	synchronized void countTokens(long prefilled, long generated) {
		this.prefilledTokens += prefilled;
		this.generatedTokens += generated;
	}

	/**
	 * Returns how often a request was run.
	 * @param id the caller's name for the request
	 * @return the number of runs that began
	 */
	synchronized int runs(String id) {
		return this.runs.getOrDefault(id, 0);
	}

	/**
	 * Returns how often each request was run.
	 * @return the number of runs by the caller's names
	 */
	synchronized Map<String, Integer> runs() {
		return Map.copyOf(this.runs);
	}

	/**
	 * Returns the prompt tokens computed.
	 * @return the number of tokens
	 */
	synchronized long prefilledTokens() {
		return this.prefilledTokens;
	}

	/**
	 * Returns the tokens generated.
	 * @return the number of tokens
	 */
	synchronized long generatedTokens() {
		return this.generatedTokens;
	}

}
