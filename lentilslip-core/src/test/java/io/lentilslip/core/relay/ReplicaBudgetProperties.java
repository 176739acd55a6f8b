package io.lentilslip.core.relay;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Several relays that know of each other, before a log that goes away and comes back. The
 * keepers of a program decide on its turns; now and then one of them does not answer in
 * time, starts again with nothing, or all are lost at once. What callers are given is
 * never more than the budget and the most of one turn.
 */
class ReplicaBudgetProperties {

	private static final int MOST = RelaySite.MOST;

	@Property(tries = 1500, seed = "4721")
	void budgetHoldsOverOutagesAndLosses(@ForAll @IntRange(min = 1, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.listed(relays, (long) turnsOfBudget * MOST, new Random(seed));
		site.program("p" + seed);
		site.goThroughOutagesAndRestarts();
		assertThat(site.given()).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
	}

	@Property(tries = 400, seed = "4722")
	void budgetHoldsOverTheLossOfAllRelaysInAnOutage(@ForAll @IntRange(min = 3, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.listed(relays, (long) turnsOfBudget * MOST, new Random(seed));
		site.program("p" + seed);
		site.logGoes();
		for (int wave = 0; wave < 15; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isGreaterThanOrEqualTo(MOST);
		site.loseAllBeforeTheLogIsBack();
		assertThat(site.given()).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
	}

	// The store falls silent, and for a second or two no relay knows. A looping program
	// takes
	// all that it is given in that time, all relays are lost, and it comes again to
	// relays
	// that know nothing of it.
	@Property(tries = 400, seed = "4726")
	void budgetHoldsOverTheLossOfAllRelaysInAnOutageThatNobodyHasNoticed(@ForAll @IntRange(min = 3, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		outageThatNobodyNotices(relays, turnsOfBudget, seed, 2);
	}

	// The same with three turns in one moment. Each of them is seen by one of the others,
	// and
	// each sees one: the first the second, the second the third, and the third the first.
	// So
	// all three are given what the log has not shown, where it should be two.
	@Property(tries = 400, seed = "4726")
	void budgetHoldsOverSuchAnOutageWithThreeTurnsAtOnce(@ForAll @IntRange(min = 3, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		outageThatNobodyNotices(relays, turnsOfBudget, seed, 3);
	}

	private static void outageThatNobodyNotices(int relays, int turnsOfBudget, long seed, int atOnce) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.listed(relays, (long) turnsOfBudget * MOST, random);
		site.program("p" + seed);
		site.wave(random.nextInt(atOnce));
		site.logFallsSilent();
		for (int wave = 0; wave < 15; wave++) {
			site.wave(1 + random.nextInt(atOnce));
		}
		site.loseAllBeforeTheLogIsBack();
		assertThat(site.given()).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
	}

	// A property that nothing can break shows nothing: programs get their whole budgets,
	// half of them in an outage, and the rest once the log is back.
	@Property(tries = 100, seed = "4723")
	void programsGetTheirBudgets(@ForAll @IntRange(min = 1, max = 9) int relays, @ForAll long seed) {
		RelaySite site = RelaySite.listed(relays, 10 * MOST, new Random(seed));
		for (int wave = 0; wave < 40; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isGreaterThan(9L * MOST);
		site.program("q");
		site.logGoes();
		for (int wave = 0; wave < 40; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isBetween(13L * MOST, 15L * MOST);
		site.logComes();
		for (int wave = 0; wave < 40; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isGreaterThan(18L * MOST);
	}

	// Two of nine relays start again in an outage, and two of a program's keepers may
	// be among them. The others are still a majority.
	@Property(tries = 200, seed = "4724")
	void programsGoOnWithoutTwoOfTheirKeepers(@ForAll long seed) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.listed(9, 10 * MOST, random);
		site.program("p" + seed);
		site.logGoes();
		int first = random.nextInt(3);
		for (int relay = first; relay < first + 2; relay++) {
			site.restart(relay);
		}
		for (int wave = 0; wave < 60; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isGreaterThan(4L * MOST);
	}

	// The store turns two of seven relays away and serves the others. These get the turns
	// of the two their places in the log, so programs get all of their budgets.
	@Property(tries = 50, seed = "4725")
	void relaysThatTheLogTurnsAwayGetPlacesThroughOthers(@ForAll long seed) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.listed(7, 10 * MOST, random);
		site.program("p" + seed);
		for (int relay = 0; relay < 2; relay++) {
			site.turnAway(relay);
		}
		for (int wave = 0; wave < 60; wave++) {
			site.waveAt(random.nextInt(2));
		}
		assertThat(site.given()).isBetween(9L * MOST, 10L * MOST);
	}

	// A relay told all others of each turn, so that at three hundred relays each did the
	// work of three hundred. A turn is told to its program's keepers alone.
	@Test
	void messagesOfATurnDoNotGrowWithTheNumberOfRelays() {
		for (int relays : new int[] { 7, 64, 300 }) {
			RelaySite site = RelaySite.listed(relays, 10 * MOST, new Random(relays));
			int turns = 200;
			for (int turn = 0; turn < turns; turn++) {
				site.program("p" + turn);
				site.wave(1);
			}
			assertThat(site.given()).isEqualTo((long) turns * MOST);
			assertThat(site.messages()).isLessThanOrEqualTo(3L * ProgramReplicas.REPLICATION_FACTOR * turns);
		}
	}

}
