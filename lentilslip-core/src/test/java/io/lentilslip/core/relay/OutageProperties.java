package io.lentilslip.core.relay;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the budget on fully connected relays without a member list, over outages of the
 * log, restarts of relays and the loss of all relays. Callers never receive more tokens
 * than the budget and the maximum of one turn.
 */
class OutageProperties {

	private static final int MAX_TOKENS = RelaySite.MAX_TOKENS;

	@Property(tries = 1500, seed = "4711")
	void budgetHoldsOverOutagesAndRestarts(@ForAll @IntRange(min = 3, max = 7) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.connected(relays, (long) turnsOfBudget * MAX_TOKENS, new Random(seed));
		site.runWithOutagesAndRestarts();
		assertThat(site.deliveredTokens()).isLessThanOrEqualTo((long) turnsOfBudget * MAX_TOKENS + MAX_TOKENS);
	}

	// The record of tokens granted during the outage is lost with all relays and must not
	// be
	// granted again afterwards.
	@Property(tries = 400, seed = "776982295391")
	void budgetHoldsOverLossOfAllRelaysDuringOutage(@ForAll @IntRange(min = 3, max = 7) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.connected(relays, (long) turnsOfBudget * MAX_TOKENS, new Random(seed));
		site.stopLog();
		for (int round = 0; round < 15; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isGreaterThanOrEqualTo(MAX_TOKENS);
		site.loseAllRelaysBeforeLogIsRestored();
		assertThat(site.deliveredTokens()).isLessThanOrEqualTo((long) turnsOfBudget * MAX_TOKENS + MAX_TOKENS);
	}

	// Guards against budgets that hold only because turns are refused: programs get half
	// of their budgets during an outage, and the rest afterwards.
	@Property(tries = 100, seed = "4713")
	void programsContinueDuringOutage(@ForAll long seed) {
		RelaySite site = RelaySite.connected(7, 10 * MAX_TOKENS, new Random(seed));
		site.stopLog();
		for (int round = 0; round < 30; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isBetween(4L * MAX_TOKENS, 5L * MAX_TOKENS);
		site.restoreLog();
		for (int round = 0; round < 30; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isGreaterThan(9L * MAX_TOKENS);
	}

	// Three of seven relays restart during an outage. The other four are a majority.
	@Property(tries = 50, seed = "4714")
	void majorityOfRelaysSuffices(@ForAll long seed) {
		RelaySite site = RelaySite.connected(7, 10 * MAX_TOKENS, new Random(seed));
		site.stopLog();
		for (int relay = 0; relay < 3; relay++) {
			site.restart(relay);
		}
		for (int round = 0; round < 60; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isGreaterThan(4L * MAX_TOKENS);
	}

	// The log rejects three of seven relays. The others reserve turns for these, so
	// programs get their full budgets.
	@Property(tries = 50, seed = "4715")
	void relaysWithoutLogAccessReserveThroughOthers(@ForAll long seed) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.connected(7, 10 * MAX_TOKENS, random);
		for (int relay = 0; relay < 3; relay++) {
			site.denyLogAccess(relay);
		}
		for (int round = 0; round < 60; round++) {
			site.runTurnAt(random.nextInt(3));
		}
		assertThat(site.deliveredTokens()).isBetween(9L * MAX_TOKENS, 10L * MAX_TOKENS);
	}

}
