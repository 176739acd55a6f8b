package io.lentilslip.core.model;

/**
 * One step of a sequence: what happens, and two numbers that choose whom it happens to.
 *
 * @param kind what happens
 * @param first the first choice
 * @param second the second choice
 */
record Action(Kind kind, int first, int second) {

	enum Kind {

		DELIVER(30), SETTLE(12), PASS(14), CALL(14), RESEND(10), DISCONNECT(2), END(1), CUT(2), LOSE_ONE_WAY(1),
		MEND_LINKS(3), PAUSE(2), RESUME(3), CRASH(2), STOP(1), LOG_DOWN(1), LOG_UP(3), APPEND_FAULT(3), ENGINE_FAULT(2);

		private final int weight;

		Kind(int weight) {
			this.weight = weight;
		}

		int weight() {
			return this.weight;
		}

	}

	@Override
	public String toString() {
		return this.kind + "(" + this.first + "," + this.second + ")";
	}

}
