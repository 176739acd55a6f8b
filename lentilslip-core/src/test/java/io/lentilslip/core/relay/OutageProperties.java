package io.lentilslip.core.relay;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Several relays before a log that goes away and comes back, each linked to all others.
 * Messages of one link arrive in order and between links in any order, while turns of one
 * program begin and end, relays start again with nothing, and now and then all of them at
 * once. What callers are given is never more than the budget and the most of one turn.
 */
class OutageProperties {

	private static final int MOST = RelaySite.MOST;

	@Property(tries = 1500, seed = "4711")
	void budgetHoldsOverOutagesAndLosses(@ForAll @IntRange(min = 3, max = 7) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.linked(relays, (long) turnsOfBudget * MOST, new Random(seed));
		site.goThroughOutagesAndRestarts();
		assertThat(site.given()).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
	}

	// What broke when the agreement of relays was first tried: a looping program is given
	// turns while the store is down, all relays are lost before it is back, and the
	// program comes again to relays that know nothing of it.
	@Property(tries = 400, seed = "776982295391")
	void budgetHoldsOverTheLossOfAllRelaysInAnOutage(@ForAll @IntRange(min = 3, max = 7) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.linked(relays, (long) turnsOfBudget * MOST, new Random(seed));
		site.logGoes();
		for (int wave = 0; wave < 15; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isGreaterThanOrEqualTo(MOST);
		site.loseAllBeforeTheLogIsBack();
		assertThat(site.given()).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
	}

	// A property that nothing can break shows nothing: in an outage programs do get half
	// of their budgets, and all of them once the log is back.
	@Property(tries = 100, seed = "4713")
	void programsGoOnInAnOutage(@ForAll long seed) {
		RelaySite site = RelaySite.linked(7, 10 * MOST, new Random(seed));
		site.logGoes();
		for (int wave = 0; wave < 30; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isBetween(4L * MOST, 5L * MOST);
		site.logComes();
		for (int wave = 0; wave < 30; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isGreaterThan(9L * MOST);
	}

	// Three of seven relays die in an outage. The four that are left are a majority.
	@Property(tries = 50, seed = "4714")
	void majorityOfRelaysIsEnough(@ForAll long seed) {
		RelaySite site = RelaySite.linked(7, 10 * MOST, new Random(seed));
		site.logGoes();
		for (int relay = 0; relay < 3; relay++) {
			site.restart(relay);
		}
		for (int wave = 0; wave < 60; wave++) {
			site.wave(1);
		}
		assertThat(site.given()).isGreaterThan(4L * MOST);
	}

	// The store turns three of seven relays away and serves the others. These get the
	// turns of the three their places in the log, so programs get all of their budgets.
	@Property(tries = 50, seed = "4715")
	void relaysThatTheLogTurnsAwayGetPlacesThroughOthers(@ForAll long seed) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.linked(7, 10 * MOST, random);
		for (int relay = 0; relay < 3; relay++) {
			site.turnAway(relay);
		}
		for (int wave = 0; wave < 60; wave++) {
			site.waveAt(random.nextInt(3));
		}
		assertThat(site.given()).isBetween(9L * MOST, 10L * MOST);
	}

}
