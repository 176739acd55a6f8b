package io.lentilslip.verification.capacity;

/**
 * The size that the system is designed for, and the limits it must keep there. Stateless
 * and safe for use by several threads.
 */
final class Target {

	static final double ENTRIES = 380;

	static final double RUNNERS = 1700;

	static final double ACCELERATORS = 14_000;

	static final double CALLS = 11_000;

	static final double TOKENS = 4_300_000;

	static final double PROGRAMS = 150_000;

	static final double MOST_TURNS = 520;

	static final double MOST_HISTORY = 990_000;

	static final double GROUPS = 1500;

	static final double MODELS = 23;

	static final double ZONES = 7;

	static final double CHANGES_A_DAY = 2100;

	static final double CHANGE_SECONDS = 9;

	static final double REPLACED_A_DAY = 510;

	static final double CORE_SHARE = 0.038;

	static final double MEMORY = 64e6;

	static final double CONTROL_BYTES = 18e3;

	static final double FIRST_TOKEN = 0.38;

	static final double DAY = 86_400;

	private Target() {
	}

	static double processes() {
		return ENTRIES + RUNNERS;
	}

	static double tokensOfCall() {
		return TOKENS / CALLS;
	}

	static double callsOfEntry() {
		return CALLS / ENTRIES;
	}

	static double callsOfSidecar() {
		return CALLS / RUNNERS;
	}

	static double programsOfSidecar() {
		return PROGRAMS / RUNNERS;
	}

	static double secondsBetweenChanges() {
		return DAY / CHANGES_A_DAY;
	}

}
