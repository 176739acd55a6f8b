package io.lentilslip.core.relay;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the budget of programs whose replicas decide on their turns, over outages of the
 * log, timeouts and restarts of relays and the loss of all relays. Callers never receive
 * more tokens than the budget and the maximum of one turn.
 */
class ReplicaBudgetProperties {

	private static final int MAX_TOKENS = RelaySite.MAX_TOKENS;

	@Property(tries = 1500, seed = "4721")
	void budgetHoldsOverOutagesAndRestarts(@ForAll @IntRange(min = 1, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.withMembership(relays, (long) turnsOfBudget * MAX_TOKENS, new Random(seed));
		site.switchProgram("p" + seed);
		site.runWithOutagesAndRestarts();
		assertThat(site.deliveredTokens()).isLessThanOrEqualTo((long) turnsOfBudget * MAX_TOKENS + MAX_TOKENS);
	}

	@Property(tries = 400, seed = "4722")
	void budgetHoldsOverLossOfAllRelaysDuringOutage(@ForAll @IntRange(min = 3, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		RelaySite site = RelaySite.withMembership(relays, (long) turnsOfBudget * MAX_TOKENS, new Random(seed));
		site.switchProgram("p" + seed);
		site.stopLog();
		for (int round = 0; round < 15; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isGreaterThanOrEqualTo(MAX_TOKENS);
		site.loseAllRelaysBeforeLogIsRestored();
		assertThat(site.deliveredTokens()).isLessThanOrEqualTo((long) turnsOfBudget * MAX_TOKENS + MAX_TOKENS);
	}

	// The outage is detected with a delay. Tokens granted before that must not be granted
	// again after all relays are lost.
	@Property(tries = 400, seed = "4726")
	void budgetHoldsOverLossOfAllRelaysDuringUndetectedOutage(@ForAll @IntRange(min = 3, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		checkUndetectedOutage(relays, turnsOfBudget, seed, 2);
	}

	// Each of three concurrent turns may be counted for only one of the others, so all
	// three could be granted from the uncommitted part of the budget.
	@Property(tries = 400, seed = "4726")
	void budgetHoldsOverUndetectedOutageWithThreeConcurrentTurns(@ForAll @IntRange(min = 3, max = 9) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		checkUndetectedOutage(relays, turnsOfBudget, seed, 3);
	}

	private static void checkUndetectedOutage(int relays, int turnsOfBudget, long seed, int maxConcurrent) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.withMembership(relays, (long) turnsOfBudget * MAX_TOKENS, random);
		site.switchProgram("p" + seed);
		site.runTurns(random.nextInt(maxConcurrent));
		site.stopLogUndetected();
		for (int round = 0; round < 15; round++) {
			site.runTurns(1 + random.nextInt(maxConcurrent));
		}
		site.loseAllRelaysBeforeLogIsRestored();
		assertThat(site.deliveredTokens()).isLessThanOrEqualTo((long) turnsOfBudget * MAX_TOKENS + MAX_TOKENS);
	}

	// Guards against budgets that hold only because turns are refused: programs get half
	// of their budgets during an outage, and the rest afterwards.
	@Property(tries = 100, seed = "4723")
	void programsGetFullBudgets(@ForAll @IntRange(min = 1, max = 9) int relays, @ForAll long seed) {
		RelaySite site = RelaySite.withMembership(relays, 10 * MAX_TOKENS, new Random(seed));
		for (int round = 0; round < 40; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isGreaterThan(9L * MAX_TOKENS);
		site.switchProgram("q");
		site.stopLog();
		for (int round = 0; round < 40; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isBetween(13L * MAX_TOKENS, 15L * MAX_TOKENS);
		site.restoreLog();
		for (int round = 0; round < 40; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isGreaterThan(18L * MAX_TOKENS);
	}

	// Two of nine relays restart during an outage and may both be replicas of the
	// program. The other relays are still a majority.
	@Property(tries = 200, seed = "4724")
	void programsContinueWithoutTwoReplicas(@ForAll long seed) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.withMembership(9, 10 * MAX_TOKENS, random);
		site.switchProgram("p" + seed);
		site.stopLog();
		int first = random.nextInt(3);
		for (int relay = first; relay < first + 2; relay++) {
			site.restart(relay);
		}
		for (int round = 0; round < 60; round++) {
			site.runTurns(1);
		}
		assertThat(site.deliveredTokens()).isGreaterThan(4L * MAX_TOKENS);
	}

	// The log rejects two of seven relays. The others reserve turns for these, so
	// programs get their full budgets.
	@Property(tries = 50, seed = "4725")
	void relaysWithoutLogAccessReserveThroughOthers(@ForAll long seed) {
		Random random = new Random(seed);
		RelaySite site = RelaySite.withMembership(7, 10 * MAX_TOKENS, random);
		site.switchProgram("p" + seed);
		for (int relay = 0; relay < 2; relay++) {
			site.denyLogAccess(relay);
		}
		for (int round = 0; round < 60; round++) {
			site.runTurnAt(random.nextInt(2));
		}
		assertThat(site.deliveredTokens()).isBetween(9L * MAX_TOKENS, 10L * MAX_TOKENS);
	}

	// Guards against the replication of turns to all relays, whose cost grows with the
	// site.
	@Test
	void messagesPerTurnDoNotGrowWithNumberOfRelays() {
		for (int relays : new int[] { 7, 64, 300 }) {
			RelaySite site = RelaySite.withMembership(relays, 10 * MAX_TOKENS, new Random(relays));
			int turns = 200;
			for (int turn = 0; turn < turns; turn++) {
				site.switchProgram("p" + turn);
				site.runTurns(1);
			}
			assertThat(site.deliveredTokens()).isEqualTo((long) turns * MAX_TOKENS);
			assertThat(site.messageCount()).isLessThanOrEqualTo(3L * ProgramReplicas.REPLICATION_FACTOR * turns);
		}
	}

}
