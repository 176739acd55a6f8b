package io.lentilslip.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Several relays that admit programs to one service in virtual time. The service runs
 * turns in order of arrival in a fixed number of places; relays see its load late. Used
 * by one thread.
 */
final class AdmissionSite {

	static final int PLACES = 240;

	static final int HOLD_MS = 250;

	static final int PAUSE_MS = 100;

	static final int TURNS = 4;

	static final Duration LATENCY_TARGET = Duration.ofMillis(200);

	private static final int RELAYS = 30;

	private static final int REPORT_DELAY_MS = 200;

	private static final int PROGRAM_MS = TURNS * HOLD_MS + (TURNS - 1) * PAUSE_MS;

	/**
	 * How long a program may take, in multiples of the time that it takes alone.
	 */
	private static final double AIM = 1.5;

	private final Random random;

	private final List<ProgramAdmission> relays = new ArrayList<>();

	private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingLong(Step::at));

	private final Deque<Turn> waiting = new ArrayDeque<>();

	private final Deque<Integer> loads = new ArrayDeque<>();

	private final List<Outcome> outcomes = new ArrayList<>();

	private final Map<ProgramClass, Integer> onTime = new HashMap<>();

	private double holdFactor = 1;

	private int running;

	private boolean callersReturn;

	private long now;

	AdmissionSite(long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < RELAYS; i++) {
			this.relays.add(new ProgramAdmission(new Random(seed + i)));
		}
	}

	/**
	 * Returns the number of programs a second that need all places.
	 * @return the number
	 */
	static double capacity() {
		return PLACES * 1000.0 / (TURNS * HOLD_MS);
	}

	/**
	 * Makes each refused caller come back once, after the delay that it got.
	 * @return this site
	 */
	AdmissionSite withReturns() {
		this.callersReturn = true;
		return this;
	}

	void slowDown(double factor) {
		this.holdFactor = factor;
	}

	/**
	 * Plays a period of arrivals.
	 * @param millis its length
	 * @param perSecond the programs that arrive a second, by class
	 */
	void play(int millis, Map<ProgramClass, Double> perSecond) {
		Map<ProgramClass, Double> owed = new HashMap<>();
		for (long end = this.now + millis; this.now < end; this.now++) {
			perSecond.forEach((programClass, rate) -> {
				double due = owed.merge(programClass, rate / 1000, Double::sum);
				if (due >= 1 || this.random.nextDouble() < due) {
					owed.merge(programClass, -1.0, Double::sum);
					arrive(new Program(this.outcomes.size() + "-" + this.random.nextInt(), programClass, this.now),
							this.callersReturn);
				}
			});
			advance();
		}
	}

	private void arrive(Program program, boolean comesBack) {
		ProgramAdmission relay = this.relays.get(this.random.nextInt(RELAYS));
		if (relay.isOutdated(this.now)) {
			relay.update(
					new ServiceRoom(PLACES / this.holdFactor, this.loads.isEmpty() ? 0 : this.loads.peekFirst(),
							Duration.ofMillis(Math.round(HOLD_MS * this.holdFactor)))
						.expectedWait(),
					WaitTolerance.of(LATENCY_TARGET), this.now);
		}
		switch (relay.decide(program.id(), program.programClass(), Duration.ofSeconds(1), this.now)) {
			case ProgramAdmission.Decision.Admitted ignored -> {
				this.outcomes.add(new Outcome(program, true, comesBack == this.callersReturn));
				this.waiting.add(new Turn(program, TURNS));
			}
			case ProgramAdmission.Decision.Refused refused -> {
				this.outcomes.add(new Outcome(program, false, comesBack == this.callersReturn));
				if (comesBack) {
					this.steps.add(new Step(this.now + refused.retryAfter().toMillis(), () -> arrive(program, false)));
				}
			}
		}
	}

	private void advance() {
		while (!this.steps.isEmpty() && this.steps.peek().at() <= this.now) {
			this.steps.poll().action().run();
		}
		while (this.running < PLACES && !this.waiting.isEmpty()) {
			start(this.waiting.poll());
		}
		this.loads.addLast(this.running + this.waiting.size());
		if (this.loads.size() > REPORT_DELAY_MS) {
			this.loads.removeFirst();
		}
	}

	private void start(Turn turn) {
		this.running++;
		long end = this.now + Math.round(HOLD_MS * this.holdFactor * (0.5 + this.random.nextDouble()));
		this.steps.add(new Step(end, () -> {
			this.running--;
			if (turn.remaining() > 1) {
				this.steps.add(new Step(end + PAUSE_MS,
						() -> this.waiting.add(new Turn(turn.program(), turn.remaining() - 1))));
				return;
			}
			if (end - turn.program().arrivedAt() <= AIM * PROGRAM_MS) {
				this.onTime.merge(turn.program().programClass(), 1, Integer::sum);
			}
		}));
	}

	/**
	 * Returns the number of programs of a class that ended in time.
	 * @param programClass the class
	 * @return the number
	 */
	int onTime(ProgramClass programClass) {
		return this.onTime.getOrDefault(programClass, 0);
	}

	/**
	 * Returns the number of programs whose first attempt was refused.
	 * @param from the time from which on they arrived
	 * @param to the time before which they arrived
	 * @return the number
	 */
	int refused(long from, long to) {
		return (int) this.outcomes.stream()
			.filter((outcome) -> !outcome.admitted() && outcome.first())
			.filter((outcome) -> outcome.program().arrivedAt() >= from && outcome.program().arrivedAt() < to)
			.count();
	}

	/**
	 * Returns the fraction of the first attempts of a class that were admitted.
	 * @param programClass the class
	 * @return the fraction
	 */
	double admitted(ProgramClass programClass) {
		return this.outcomes.stream()
			.filter((outcome) -> outcome.first() && outcome.program().programClass().equals(programClass))
			.mapToInt((outcome) -> outcome.admitted() ? 1 : 0)
			.average()
			.orElse(1);
	}

	long now() {
		return this.now;
	}

	/**
	 * A program of a caller. Immutable.
	 *
	 * @param id its id
	 * @param programClass its class
	 * @param arrivedAt the time of its first attempt
	 */
	record Program(String id, ProgramClass programClass, long arrivedAt) {

	}

	/**
	 * A decision on an attempt of a program. Immutable.
	 *
	 * @param program the program
	 * @param admitted whether it was admitted
	 * @param first whether it was the first attempt
	 */
	record Outcome(Program program, boolean admitted, boolean first) {

	}

	private record Turn(Program program, int remaining) {

	}

	private record Step(long at, Runnable action) {

	}

}
