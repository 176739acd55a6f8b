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
 * Several relays before one log. A program sends waves of turns, each wave to several
 * relays before these hear of each other. What callers are given is never more than the
 * budget and the most of one turn, and a turn that the log placed is answered.
 */
class BudgetProperties {

	private static final int MOST = 100;

	@Property(tries = 400, seed = "20261")
	void budgetHoldsOverAllRelays(@ForAll @IntRange(min = 1, max = 4) int relays,
			@ForAll @IntRange(min = 1, max = 20) int turnsOfBudget, @ForAll long seed) {
		Site site = new Site(relays, (long) turnsOfBudget * MOST, new Random(seed));
		for (int wave = 0; wave < 30; wave++) {
			site.wave();
		}
		assertThat(site.given).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
		assertThat(site.underWay()).isZero();
	}

	/**
	 * The relays, their log and their callers. Used by one thread.
	 */
	private static final class Site {

		private final List<RelayFixture> relays = new ArrayList<>();

		private final List<LedgerEntry> log = new ArrayList<>();

		private final Map<RelayFixture, Integer> read = new HashMap<>();

		private final Map<RelayFixture, List<LedgerEntry>> unwritten = new HashMap<>();

		private final List<Running> running = new ArrayList<>();

		private final long budget;

		private final Random random;

		private long given;

		private int turns;

		Site(int count, long budget, Random random) {
			this.budget = budget;
			this.random = random;
			for (int i = 0; i < count; i++) {
				RelayFixture relay = RelayFixture.ready();
				this.relays.add(relay);
				this.read.put(relay, 0);
				this.unwritten.put(relay, new ArrayList<>());
			}
		}

		void wave() {
			int size = 1 + this.random.nextInt(RelaySettings.ASSUMED_CONCURRENT_TURNS);
			Map<RelayFixture, List<LedgerEntry>> told = new HashMap<>();
			for (int i = 0; i < size; i++) {
				RelayFixture relay = this.relays.get(this.random.nextInt(this.relays.size()));
				this.turns++;
				List<RelayEffect> effects = relay.sendTurn("t" + this.turns, "draft",
						RelayFixture.turn("p", this.budget, MOST, null));
				told.computeIfAbsent(relay, (key) -> new ArrayList<>()).addAll(RelayFixture.written(effects));
				take(relay, effects);
			}
			told.forEach(this::tell);
			settle();
			while (!this.running.isEmpty()) {
				run(this.running.remove(this.random.nextInt(this.running.size())));
				settle();
			}
		}

		int underWay() {
			return this.running.size();
		}

		private void settle() {
			for (int round = 0; round < 3; round++) {
				this.relays.forEach(this::append);
				this.relays.forEach(this::read);
			}
		}

		private void append(RelayFixture relay) {
			this.log.addAll(this.unwritten.get(relay));
			this.unwritten.get(relay).clear();
		}

		private void read(RelayFixture relay) {
			List<LedgerEntry> next = this.log.subList(this.read.get(relay), this.log.size());
			LedgerEntry[] entries = next.toArray(new LedgerEntry[0]);
			this.read.put(relay, this.log.size());
			List<RelayEffect> effects = relay.readFromLog(entries);
			take(relay, effects);
			tell(relay, RelayFixture.written(effects));
		}

		private void take(RelayFixture relay, List<RelayEffect> effects) {
			this.unwritten.get(relay).addAll(RelayFixture.written(effects));
			RelayFixture.ofType(effects, RelayEffect.SendRequest.class)
				.forEach((send) -> this.running.add(new Running(relay, send)));
		}

		private void tell(RelayFixture from, List<LedgerEntry> entries) {
			for (RelayFixture relay : this.relays) {
				if (relay != from) {
					take(relay, relay.readFromPeer(entries.toArray(new LedgerEntry[0])));
				}
			}
		}

		private void run(Running turn) {
			long exchange = turn.send().exchange();
			int attempt = turn.send().attempt();
			RelayFixture relay = turn.relay();
			List<RelayEffect> effects = new ArrayList<>(
					relay.handle(new RelayEvent.StreamOpened(relay.now(), exchange, attempt, RelayFixture.SIGNED)));
			int events = this.random.nextInt(MOST / RelayFixture.TOKENS_PER_EVENT + 1);
			for (int i = 1; i <= events; i++) {
				byte[] data = { 'x' };
				effects.addAll(relay
					.handle(new RelayEvent.StreamEventReceived(relay.now(), exchange, attempt, i, data, data)));
			}
			this.given += (long) RelayFixture.ofType(effects, RelayEffect.ForwardStreamEvent.class).size()
					* RelayFixture.TOKENS_PER_EVENT;
			boolean leaves = this.random.nextInt(4) == 0;
			RelayEvent last = leaves ? new RelayEvent.CallerDisconnected(relay.now(), exchange)
					: new RelayEvent.StreamEnded(relay.now(), exchange, attempt);
			effects.addAll(relay.handle(last));
			take(relay, effects);
			tell(relay, RelayFixture.written(effects));
		}

	}

	/**
	 * A turn that an upstream runs. Immutable.
	 *
	 * @param relay the relay that sent it
	 * @param send where it was sent
	 */
	private record Running(RelayFixture relay, RelayEffect.SendRequest send) {

	}

}
