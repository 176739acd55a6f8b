package io.lentilslip.verification.capacity;

import io.lentilslip.verification.capacity.Figure.Unit;

/**
 * Works out what the mechanisms that are to take the place of today's would take at the
 * target size, and what failures cost there. None of them is built. Confined to one
 * sheet.
 */
final class PlannedFigures {

	private static final double PARTITIONS = 340;

	private static final double READERS_OF_PARTITION = 5;

	private static final double RELAYS_OF_ZONE = 4;

	private static final double APPENDS_OF_RELAY = 10;

	private static final double DIGESTS_OF_ZONE = 24;

	private static final double FAR_DIGEST_SECONDS = 10;

	private static final double IDLE_LINK_SECONDS = 10;

	private static final double SLICE_SECONDS = 30;

	private static final double BATCH = 100;

	private static final double LOSS_SECONDS = 10;

	private static final double HELD_LINKS = 100;

	private final Sheet sheet;

	PlannedFigures(Sheet sheet) {
		this.sheet = sheet;
	}

	void fill() {
		partitions();
		relays();
		links();
		digests();
		budgets();
		configuration();
		lossOfZone();
		replacedVms();
	}

	private void partitions() {
		this.sheet.of("planned: claims by partition");
		this.sheet.addWithin(Target.MEMORY, "ledger of one of 340 partitions",
				TodaysFigures.remembered(this.sheet) / PARTITIONS * this.sheet.slope("ledger-heap-by-programs"),
				Unit.BYTES, "150,000 / life × 26 h / 340 × slope");
		this.sheet.addWithin(Target.CONTROL_BYTES, "claims read of one partition",
				newPrograms() / PARTITIONS * this.sheet.slope("wire-program-claimed-by-records") * 4 / 3,
				Unit.BYTES_A_SECOND, "150,000 / life / 340 × slope × 4/3");
		this.sheet.add(
				"reads of the log at start", TodaysFigures.remembered(this.sheet) / PARTITIONS
						* this.sheet.slope("wire-program-claimed-by-records") * 4 / 3,
				Unit.BYTES, "150,000 / life × 26 h / 340 × slope × 4/3");
		this.sheet.add("questions for a home, at each of 5 readers of a partition",
				Target.CALLS / (PARTITIONS * READERS_OF_PARTITION), Unit.A_SECOND,
				"11,000 / (340 × 5), if no entry remembered an answer");
	}

	private double newPrograms() {
		return Target.PROGRAMS / (this.sheet.assume(Assumption.PROGRAM_HOURS) * 3600);
	}

	private void relays() {
		this.sheet.of("planned: appends by relays of a zone");
		double appends = Target.ZONES * RELAYS_OF_ZONE * APPENDS_OF_RELAY;
		this.sheet.addWithin(this.sheet.assume(Assumption.LOG_APPENDS), "appends of all", appends, Unit.A_SECOND,
				"7 zones × 4 relays × 10 a second");
		this.sheet.add("turns in one append", Target.CALLS / appends, Unit.COUNT, "11,000 / 280");
		this.sheet.addWithin(1 << 20, "record of one append",
				Target.CALLS / appends * TodaysFigures.turnBytes(this.sheet), Unit.BYTES,
				"11,000 / 280 × (line at 391 tokens), against 1 MiB");
		this.sheet.addWithin(Target.CONTROL_BYTES, "text that a relay passes on, each way",
				Target.CALLS / (Target.ZONES * RELAYS_OF_ZONE) * TodaysFigures.turnBytes(this.sheet),
				Unit.BYTES_A_SECOND, "11,000 / 28 × (line at 391 tokens)");
	}

	private void links() {
		this.sheet.of("planned: links on demand");
		double inFlight = Target.PROGRAMS / Target.ENTRIES;
		double used = distinct(inFlight);
		double kept = distinct(inFlight + Target.callsOfEntry() * IDLE_LINK_SECONDS);
		this.sheet.add("sidecars with a call of one entry under way", used, Unit.COUNT,
				"1,700 × (1 - e^(-395/1,700)): 150,000 calls at most, spread by the balancer");
		this.sheet.add("links of an entry, kept for 10 s after the last call", kept, Unit.COUNT,
				"1,700 × (1 - e^(-(395 + 289)/1,700))");
		this.sheet.addWithin(Target.CONTROL_BYTES, "heartbeats on the links without a call, every 10 s",
				(kept - used) / IDLE_LINK_SECONDS * 2
						* (this.sheet.slope("wire-heartbeat-by-messages") + this.sheet.assume(Assumption.PACKET_BYTES)),
				Unit.BYTES_A_SECOND, "(kept - used) / 10 s × 2 × (slope + packet)");
		this.sheet.addWithin(Target.CONTROL_BYTES, "greetings of links opened anew",
				Target.callsOfEntry() * (1 - kept / Target.RUNNERS) * 2
						* (this.sheet.slope("wire-hello-by-messages") + 3 * this.sheet.assume(Assumption.PACKET_BYTES)),
				Unit.BYTES_A_SECOND, "28.9 a second × share without a link × 2 × (slope + 3 packets)");
	}

	private static double distinct(double calls) {
		return Target.RUNNERS * (1 - Math.exp(-calls / Target.RUNNERS));
	}

	private void digests() {
		this.sheet.of("planned: digests of load by zone");
		double ofZone = Target.RUNNERS / Target.ZONES;
		this.sheet.addWithin(Target.CONTROL_BYTES, "digests that an entry pulls",
				ofZone * (1 + (Target.ZONES - 1) / FAR_DIGEST_SECONDS)
						* this.sheet.at("wire-load-report-by-prefixes", 0),
				Unit.BYTES_A_SECOND, "243 sidecars × (1 a second + 6 zones / 10 s) × (line at 0 prefixes)");
		this.sheet.addWithin(Target.CONTROL_BYTES, "digests that one of 24 keepers in a zone gives",
				ofZone / DIGESTS_OF_ZONE * this.sheet.at("wire-load-report-by-prefixes", 0)
						* (Target.ENTRIES / Target.ZONES) * (1 + (Target.ZONES - 1) / FAR_DIGEST_SECONDS),
				Unit.BYTES_A_SECOND, "10 sidecars × (line at 0 prefixes) × 54 entries × 1.6 a second");
	}

	private void budgets() {
		this.sheet.of("planned: budgets kept by zone");
		double slices = Target.GROUPS * Target.ZONES / SLICE_SECONDS;
		this.sheet.add("slices, one for each group and zone in 30 s", slices, Unit.A_SECOND, "1,500 × 7 / 30 s");
		this.sheet.addWithin(Target.CONTROL_BYTES, "slices read by a keeper of 1/54 of the groups",
				slices / (Target.ENTRIES / Target.ZONES) * this.sheet.slope("wire-slice-reserved-by-records") * 4 / 3,
				Unit.BYTES_A_SECOND, "350 / 54 × slope × 4/3");
		this.sheet.addWithin(Target.MEMORY, "budgets of all groups, if one process held them",
				Target.GROUPS * Target.ZONES * this.sheet.slope("ledger-heap-by-slices"), Unit.BYTES,
				"1,500 × 7 × slope");
	}

	private void configuration() {
		this.sheet.of("planned: changed sections");
		this.sheet.addWithin(Target.CONTROL_BYTES, "one changed group, sent to 100 links within 9 s",
				this.sheet.slope("configuration-bytes-by-groups") * HELD_LINKS / Target.CHANGE_SECONDS,
				Unit.BYTES_A_SECOND, "slope of groups × 100 / 9 s");
		this.sheet.add("whole text for a process that starts, from a peer",
				TodaysFigures.configurationBytes(this.sheet), Unit.BYTES,
				"line at 1,500 groups + 1,700 × slope of upstreams");
	}

	private void lossOfZone() {
		this.sheet.of("a zone is lost, first 10 s");
		double programs = Target.PROGRAMS / Target.ZONES;
		double entries = Target.ENTRIES * (1 - 1 / Target.ZONES);
		this.sheet.add("programs without a home", programs, Unit.COUNT, "150,000 / 7");
		this.sheet.add("links that end at once today", entries * Target.RUNNERS / Target.ZONES, Unit.COUNT,
				"326 entries × 243 sidecars");
		this.sheet.add("claims", programs / LOSS_SECONDS, Unit.A_SECOND, "150,000 / 7 / 10 s");
		this.sheet.addWithin(this.sheet.assume(Assumption.LOG_APPENDS), "appends of claims today",
				TodaysFigures.grouped(this.sheet, entries, programs / LOSS_SECONDS / entries), Unit.A_SECOND,
				"326 × r / (1 + r × time of an append), r = 6.6 claims a second");
		this.sheet.addWithin(this.sheet.assume(Assumption.LOG_APPENDS), "appends of claims in batches of 100",
				programs / LOSS_SECONDS / BATCH, Unit.A_SECOND, "150,000 / 7 / 10 s / 100");
		this.sheet.add(
				"text of histories read", programs * this.sheet.assume(Assumption.HISTORY_TOKENS)
						* this.sheet.assume(Assumption.TOKEN_BYTES) * 4 / 3,
				Unit.BYTES, "150,000 / 7 × tokens × bytes × 4/3");
		this.sheet.add("requests to the log for it today", programs * this.sheet.assume(Assumption.TURNS), Unit.COUNT,
				"150,000 / 7 × turns, one each");
		double accelerators = Target.ACCELERATORS * (1 - 1 / Target.ZONES);
		this.sheet.add("prefill of lost caches, over all that are left",
				programs * this.sheet.assume(Assumption.HISTORY_TOKENS)
						/ (accelerators * this.sheet.assume(Assumption.PREFILL_TOKENS)),
				Unit.SECONDS, "150,000 / 7 × tokens / (12,000 × prefill)");
		this.sheet.addWithin(Target.FIRST_TOKEN, "prefill of one such program alone on its runner",
				this.sheet.assume(Assumption.HISTORY_TOKENS)
						/ (Target.ACCELERATORS / Target.RUNNERS * this.sheet.assume(Assumption.PREFILL_TOKENS)),
				Unit.SECONDS, "tokens / (8.2 accelerators × prefill), against the first token");
	}

	private void replacedVms() {
		this.sheet.of("510 replaced VMs a day");
		double sidecars = Target.REPLACED_A_DAY * Target.RUNNERS / Target.processes();
		this.sheet.add("claims of moved programs", sidecars * Target.programsOfSidecar() / Target.DAY, Unit.A_SECOND,
				"417 sidecars × 88 programs / day");
		this.sheet.add("tokens prefilled again",
				sidecars * Target.programsOfSidecar() * this.sheet.assume(Assumption.HISTORY_TOKENS) / Target.DAY,
				Unit.A_SECOND, "417 × 88 × tokens / day, beside 4.3 million generated a second");
		this.sheet.add("log read at starts today",
				Target.REPLACED_A_DAY * 52 * 3600 * Target.CALLS * TodaysFigures.turnBytes(this.sheet) * 4 / 3
						/ Target.DAY,
				Unit.BYTES_A_SECOND, "510 × 52 h × 11,000 a second × (line at 391 tokens) × 4/3 / day");
		this.sheet.add("log read at starts by partitions",
				sidecars * TodaysFigures.remembered(this.sheet) / PARTITIONS
						* this.sheet.slope("wire-program-claimed-by-records") * 4 / 3 / Target.DAY,
				Unit.BYTES_A_SECOND, "417 × 150,000 / life × 26 h / 340 × slope × 4/3 / day");
	}

}
