package io.lentilslip.verification.capacity;

import io.lentilslip.verification.capacity.Figure.Unit;

/**
 * Works out what today's mechanisms would take at the target size. Confined to one sheet.
 */
final class TodaysFigures {

	private static final double HEARTBEATS = 2;

	private static final double TICKS = 10;

	private static final double REMEMBERED_HOURS = 26;

	private static final double KEPT_HOURS = 52;

	private static final double BASE64 = 4.0 / 3;

	private static final double MOST_RECORD = 1 << 20;

	private static final double LIST_SECONDS = 2;

	private static final double SLICE_RECORDS = 2;

	private final Sheet sheet;

	TodaysFigures(Sheet sheet) {
		this.sheet = sheet;
	}

	void fill() {
		ledger();
		entry();
		sidecar();
		logService();
		others();
	}

	private void ledger() {
		this.sheet.of("entry and sidecar");
		this.sheet.addWithin(Target.MEMORY, "ledger of the programs under way",
				Target.PROGRAMS * this.sheet.slope("ledger-heap-by-programs"), Unit.BYTES, "150,000 × slope");
		this.sheet.addWithin(Target.MEMORY, "ledger of all programs remembered",
				remembered(this.sheet) * this.sheet.slope("ledger-heap-by-programs"), Unit.BYTES,
				"150,000 / life × 26 h × slope");
		this.sheet.add("programs that fill 64 MB by the ledger alone",
				Target.MEMORY / this.sheet.slope("ledger-heap-by-programs"), Unit.COUNT, "64 MB / slope");
		this.sheet.addWithin(Target.MEMORY, "budgets, each of 1,500 groups used at each of 380 entries",
				Target.GROUPS * Target.ENTRIES * this.sheet.slope("ledger-heap-by-slices"), Unit.BYTES,
				"1,500 × 380 × slope");
		this.sheet.addWithin(Target.CONTROL_BYTES, "slices of budgets read from the log",
				SLICE_RECORDS * Target.CALLS * this.sheet.slope("wire-slice-reserved-by-records") * BASE64,
				Unit.BYTES_A_SECOND,
				"2 × 11,000 × slope × 4/3: an entry sees a group every 52 s, a slice lasts 2 s idle");
		this.sheet.addWithin(Target.MEMORY, "configuration",
				this.sheet.at("configuration-heap-by-groups", Target.GROUPS)
						+ Target.RUNNERS * this.sheet.slope("configuration-heap-by-upstreams"),
				Unit.BYTES, "line at 1,500 groups + 1,700 × slope of upstreams");
		this.sheet.addWithin(Target.CONTROL_BYTES, "turns read from the log",
				Target.CALLS * turnBytes(this.sheet) * BASE64, Unit.BYTES_A_SECOND,
				"11,000 × (line at 391 tokens) × 4/3 for Base64");
		this.sheet.addWithin(Target.CORE_SHARE, "turns decoded and applied",
				Target.CALLS * seconds("ledger-record-with-text-cpu-by-records"), Unit.CORE, "11,000 × slope");
		this.sheet.add("turns a second that take 3.8% of a core",
				Target.CORE_SHARE / seconds("ledger-record-with-text-cpu-by-records"), Unit.A_SECOND, "3.8% / slope");
		this.sheet.add("turns a second that take 18 kB/s", Target.CONTROL_BYTES / (turnBytes(this.sheet) * BASE64),
				Unit.A_SECOND, "18 kB/s / ((line at 391 tokens) × 4/3)");
		this.sheet.addWithin(Target.CONTROL_BYTES, "configuration read, spread over the day",
				configurationBytes(this.sheet) * BASE64 / Target.secondsBetweenChanges(), Unit.BYTES_A_SECOND,
				"text of 1,500 groups and 1,700 upstreams × 4/3 every 41 s");
		this.sheet.addWithin(Target.CONTROL_BYTES, "configuration read within 9 s of a change",
				configurationBytes(this.sheet) * BASE64 / Target.CHANGE_SECONDS, Unit.BYTES_A_SECOND,
				"text × 4/3 / 9 s");
		this.sheet.addWithin(Target.CORE_SHARE, "configuration parsed, spread over the day",
				(seconds("configuration-reading-cpu-by-groups") * Target.GROUPS
						+ seconds("configuration-reading-cpu-by-upstreams") * Target.RUNNERS)
						/ Target.secondsBetweenChanges(),
				Unit.CORE, "(1,500 × slope + 1,700 × slope) every 41 s");
	}

	static double remembered(Sheet sheet) {
		return Target.PROGRAMS / sheet.assume(Assumption.PROGRAM_HOURS) * REMEMBERED_HOURS;
	}

	static double turnBytes(Sheet sheet) {
		return sheet.at("wire-turn-by-answer-bytes", Target.tokensOfCall() * sheet.assume(Assumption.TOKEN_BYTES));
	}

	static double configurationBytes(Sheet sheet) {
		return sheet.at("configuration-bytes-by-groups", Target.GROUPS)
				+ Target.RUNNERS * sheet.slope("configuration-bytes-by-upstreams");
	}

	private double seconds(String quantity) {
		return seconds(this.sheet, quantity);
	}

	static double seconds(Sheet sheet, String quantity) {
		return sheet.slope(quantity) / 1e9;
	}

	// Load reports that a sidecar sends each of its links in a second: at each tick
	// before
	// which a call began or ended.
	private static double reports() {
		double changesInTick = 2 * Target.callsOfSidecar() / TICKS;
		return TICKS * (1 - Math.exp(-changesInTick));
	}

	private void entry() {
		this.sheet.of("entry");
		this.sheet.addWithin(Target.MEMORY, "links to 1,700 sidecars, in the reducer's state",
				this.sheet.at("entry-heap-by-sidecars", Target.RUNNERS), Unit.BYTES, "line at 1,700");
		links(Target.RUNNERS, "1,700 sidecars");
		this.sheet.addWithin(Target.CORE_SHARE, "load reports of 1,700 sidecars",
				Target.RUNNERS * reports()
						* (seconds("entry-load-report-cpu-by-reports") + seconds("codec-load-report-cpu-by-messages")),
				Unit.CORE, "1,700 × 7.3 a second × (slope + slope of codec, writing included)");
		this.sheet.addWithin(Target.CORE_SHARE, "ticks", TICKS * seconds("entry-tick-cpu-by-ticks"), Unit.CORE,
				"10 a second × slope");
		this.sheet.add("calls, without their text (data)", Target.callsOfEntry() * (seconds("entry-call-cpu-by-calls")
				+ seconds("codec-dispatch-of-4096-bytes-cpu-by-messages") + seconds("codec-finished-cpu-by-messages")),
				Unit.CORE, "28.9 a second × (slope + slopes of codec)");
		this.sheet.add("parts of answers (data)",
				Target.TOKENS / Target.ENTRIES
						* (seconds("entry-call-cpu-by-deltas") + seconds("codec-delta-cpu-by-messages")),
				Unit.CORE, "11,316 a second × (slope + slope of codec, writing included)");
		this.sheet.add("parts of answers (data)",
				Target.TOKENS / Target.ENTRIES
						* (this.sheet.at("wire-delta-by-text-bytes", this.sheet.assume(Assumption.TOKEN_BYTES))
								+ this.sheet.assume(Assumption.PACKET_BYTES)),
				Unit.BYTES_A_SECOND, "11,316 a second × (line at 4 bytes + packet)");
	}

	private void links(double links, String peers) {
		this.sheet.addWithin(Target.MEMORY, "quiet links with %s, heartbeats included".formatted(peers),
				links * this.sheet.slope("link-heap-of-both-ends-by-links") / 2, Unit.BYTES,
				"links × slope / 2, for one of two like ends");
		this.sheet.addWithin(Target.CORE_SHARE, "quiet links with %s, heartbeats included".formatted(peers),
				links * seconds("link-cpu-of-a-second-of-both-ends-by-links") / 2, Unit.CORE,
				"links × slope / 2, for one of two like ends");
		this.sheet.addWithin(Target.CONTROL_BYTES,
				"heartbeats on quiet links with %s, both directions".formatted(peers),
				links * HEARTBEATS * 2
						* (this.sheet.slope("wire-heartbeat-by-messages") + this.sheet.assume(Assumption.PACKET_BYTES)),
				Unit.BYTES_A_SECOND, "links × 2 a second × 2 × (slope + packet)");
		this.sheet.addWithin(Target.CONTROL_BYTES, "load reports between it and %s".formatted(peers), links * reports()
				* (this.sheet.at("wire-load-report-by-prefixes", 0) + this.sheet.assume(Assumption.PACKET_BYTES)),
				Unit.BYTES_A_SECOND, "links × 7.3 a second × (line at 0 prefixes + packet)");
	}

	private void sidecar() {
		this.sheet.of("sidecar");
		this.sheet.addWithin(Target.MEMORY, "histories of 88 programs",
				Target.programsOfSidecar()
						* history(this.sheet.assume(Assumption.TURNS), this.sheet.assume(Assumption.HISTORY_TOKENS)),
				Unit.BYTES, "88 × (turns × slope of turns + tokens × bytes × slope of answer bytes / 100)");
		this.sheet.addWithin(Target.MEMORY, "one program of the longest history",
				history(Target.MOST_TURNS, Target.MOST_HISTORY), Unit.BYTES,
				"520 × slope of turns + 990,000 × bytes × slope of answer bytes / 100");
		this.sheet.addWithin(Target.MEMORY, "links of 380 entries, in the reducer's state",
				this.sheet.at("sidecar-heap-by-entries", Target.ENTRIES), Unit.BYTES, "line at 380");
		links(Target.ENTRIES, "380 entries");
		this.sheet.addWithin(Target.CORE_SHARE, "ticks that report to 380 entries, without sending",
				TICKS * seconds("sidecar-tick-cpu-by-ticks"), Unit.CORE, "10 a second × slope");
		this.sheet.add("calls, without their text (data)",
				Target.callsOfSidecar() * (seconds("sidecar-call-cpu-by-calls")
						+ seconds("codec-dispatch-of-4096-bytes-cpu-by-messages")
						+ seconds("codec-finished-cpu-by-messages")),
				Unit.CORE, "6.5 a second × (slope + slopes of codec)");
		this.sheet.add("parts of answers (data)",
				Target.TOKENS / Target.RUNNERS
						* (seconds("sidecar-call-cpu-by-deltas") + seconds("codec-delta-cpu-by-messages")),
				Unit.CORE, "2,529 a second × (slope + slope of codec, reading included)");
	}

	private double history(double turns, double tokens) {
		return turns * this.sheet.slope("sidecar-heap-by-turns") + tokens * this.sheet.assume(Assumption.TOKEN_BYTES)
				* this.sheet.slope("sidecar-heap-by-answer-bytes-of-100-turns") / 100;
	}

	private void logService() {
		this.sheet.of("log service");
		this.sheet.addWithin(this.sheet.assume(Assumption.LOG_APPENDS), "appends of turns, each sidecar its own groups",
				grouped(this.sheet, Target.RUNNERS, Target.callsOfSidecar()), Unit.A_SECOND,
				"1,700 × r / (1 + r × time of an append), r = 6.5 turns a second");
		this.sheet.addWithin(this.sheet.assume(Assumption.LOG_APPENDS), "appends of slices, each entry its own groups",
				grouped(this.sheet, Target.ENTRIES, SLICE_RECORDS * Target.callsOfEntry()), Unit.A_SECOND,
				"380 × r / (1 + r × time of an append), r = 2 × 28.9 a second");
		this.sheet.add("claims of new programs", Target.PROGRAMS / (this.sheet.assume(Assumption.PROGRAM_HOURS) * 3600),
				Unit.A_SECOND, "150,000 / life");
		this.sheet.add("bytes appended", Target.CALLS * turnBytes(this.sheet), Unit.BYTES_A_SECOND,
				"11,000 × (line at 391 tokens)");
		this.sheet.add("bytes read by all", Target.processes() * Target.CALLS * turnBytes(this.sheet) * BASE64,
				Unit.BYTES_A_SECOND, "2,080 processes × 11,000 × (line at 391 tokens) × 4/3");
		this.sheet.add("bytes kept", KEPT_HOURS * 3600 * Target.CALLS * turnBytes(this.sheet), Unit.BYTES,
				"52 h × 11,000 a second × (line at 391 tokens)");
		this.sheet.add("records read by a process that starts",
				KEPT_HOURS * 3600 * Target.CALLS * seconds("ledger-record-with-text-cpu-by-records"), Unit.SECONDS,
				"52 h × 11,000 a second × slope, processor time of one core");
	}

	static double grouped(Sheet sheet, double appenders, double rate) {
		return appenders * rate / (1 + rate * sheet.assume(Assumption.APPEND_MILLISECONDS) / 1000);
	}

	private void others() {
		this.sheet.of("VM list");
		this.sheet.add("reads by all", Target.processes() / LIST_SECONDS, Unit.A_SECOND, "2,080 every 2 s");
		this.sheet.of("operators' command");
		this.sheet.addWithin(MOST_RECORD, "record of a configuration", configurationBytes(this.sheet), Unit.BYTES,
				"line at 1,500 groups + 1,700 × slope of upstreams, against 1 MiB");
	}

}
