package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the budget over several relays with one log, with concurrent turns that start
 * before relays have replicated them. Callers never receive more tokens than the budget
 * and the maximum of one turn, and every admitted turn is answered.
 */
class BudgetProperties {

	private static final int MAX_TOKENS = 100;

	@Property(tries = 400, seed = "20261")
	void budgetHoldsOverConcurrentTurnsOnAllRelays(@ForAll @IntRange(min = 1, max = 4) int relays,
			@ForAll @IntRange(min = 1, max = 20) int turnsOfBudget, @ForAll long seed) {
		Site site = new Site(relays, (long) turnsOfBudget * MAX_TOKENS, new Random(seed));
		for (int round = 0; round < 30; round++) {
			site.runConcurrentTurns();
		}
		assertThat(site.deliveredTokens).isLessThanOrEqualTo((long) turnsOfBudget * MAX_TOKENS + MAX_TOKENS);
		assertThat(site.runningTurns()).isZero();
	}

	/**
	 * Simulation of relays, their log and their callers. Used by one thread.
	 */
	private static final class Site {

		private final List<RelayFixture> relays = new ArrayList<>();

		private final List<LedgerEntry> log = new ArrayList<>();

		private final Map<RelayFixture, Integer> read = new HashMap<>();

		private final Map<RelayFixture, List<LedgerEntry>> unappended = new HashMap<>();

		private final List<Running> running = new ArrayList<>();

		private final long budget;

		private final Random random;

		private long deliveredTokens;

		private int turns;

		Site(int count, long budget, Random random) {
			this.budget = budget;
			this.random = random;
			for (int i = 0; i < count; i++) {
				RelayFixture relay = RelayFixture.ready();
				this.relays.add(relay);
				this.read.put(relay, 0);
				this.unappended.put(relay, new ArrayList<>());
			}
		}

		void runConcurrentTurns() {
			int size = 1 + this.random.nextInt(RelaySettings.ASSUMED_CONCURRENT_TURNS);
			Map<RelayFixture, List<LedgerEntry>> startedEntries = new HashMap<>();
			for (int i = 0; i < size; i++) {
				RelayFixture relay = this.relays.get(this.random.nextInt(this.relays.size()));
				this.turns++;
				List<RelayEffect> effects = relay.sendTurn("t" + this.turns, "draft",
						RelayFixture.turn("p", this.budget, MAX_TOKENS, null));
				startedEntries.computeIfAbsent(relay, (key) -> new ArrayList<>()).addAll(RelayFixture.written(effects));
				apply(relay, effects);
			}
			startedEntries.forEach(this::replicate);
			synchronizeLog();
			while (!this.running.isEmpty()) {
				run(this.running.remove(this.random.nextInt(this.running.size())));
				synchronizeLog();
			}
		}

		int runningTurns() {
			return this.running.size();
		}

		private void synchronizeLog() {
			for (int round = 0; round < 3; round++) {
				this.relays.forEach(this::append);
				this.relays.forEach(this::read);
			}
		}

		private void append(RelayFixture relay) {
			this.log.addAll(this.unappended.get(relay));
			this.unappended.get(relay).clear();
		}

		private void read(RelayFixture relay) {
			List<LedgerEntry> next = this.log.subList(this.read.get(relay), this.log.size());
			LedgerEntry[] entries = next.toArray(new LedgerEntry[0]);
			this.read.put(relay, this.log.size());
			List<RelayEffect> effects = relay.readFromLog(entries);
			apply(relay, effects);
			replicate(relay, RelayFixture.written(effects));
		}

		private void apply(RelayFixture relay, List<RelayEffect> effects) {
			this.unappended.get(relay).addAll(RelayFixture.written(effects));
			RelayFixture.ofType(effects, RelayEffect.SendRequest.class)
				.forEach((send) -> this.running.add(new Running(relay, send)));
		}

		private void replicate(RelayFixture from, List<LedgerEntry> entries) {
			for (RelayFixture relay : this.relays) {
				if (relay != from) {
					apply(relay, relay.readFromPeer(entries.toArray(new LedgerEntry[0])));
				}
			}
		}

		private void run(Running turn) {
			long exchange = turn.send().exchange();
			int attempt = turn.send().attempt();
			RelayFixture relay = turn.relay();
			List<RelayEffect> effects = new ArrayList<>(
					relay.handle(new RelayEvent.StreamOpened(relay.now(), exchange, attempt, RelayFixture.SIGNED)));
			int events = this.random.nextInt(MAX_TOKENS / RelayFixture.TOKENS_PER_EVENT + 1);
			for (int i = 1; i <= events; i++) {
				byte[] data = { 'x' };
				effects.addAll(relay
					.handle(new RelayEvent.StreamEventReceived(relay.now(), exchange, attempt, i, data, data)));
			}
			this.deliveredTokens += (long) RelayFixture.ofType(effects, RelayEffect.ForwardStreamEvent.class).size()
					* RelayFixture.TOKENS_PER_EVENT;
			boolean disconnects = this.random.nextInt(4) == 0;
			RelayEvent last = disconnects ? new RelayEvent.CallerDisconnected(relay.now(), exchange)
					: new RelayEvent.StreamEnded(relay.now(), exchange, attempt);
			effects.addAll(relay.handle(last));
			apply(relay, effects);
			replicate(relay, RelayFixture.written(effects));
		}

	}

	/**
	 * A turn that runs on an upstream. Immutable.
	 *
	 * @param relay the relay that sent it
	 * @param send the request to the upstream
	 */
	private record Running(RelayFixture relay, RelayEffect.SendRequest send) {

	}

}
