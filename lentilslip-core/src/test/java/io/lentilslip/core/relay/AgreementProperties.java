package io.lentilslip.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Several relays without a log, each linked to all others. Messages of one link arrive in
 * order and between links in any order, while turns begin and end. What callers are given
 * is never more than the budget and the most of one turn.
 */
class AgreementProperties {

	private static final int MOST = 100;

	@Property(tries = 600, seed = "4711")
	void budgetHoldsWithoutALog(@ForAll @IntRange(min = 2, max = 4) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		Site site = new Site(relays, (long) turnsOfBudget * MOST, new Random(seed));
		for (int wave = 0; wave < 20; wave++) {
			site.wave();
		}
		assertThat(site.given).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
		assertThat(site.running).isEmpty();
	}

	// A property that nothing can break shows nothing: programs do come near the end.
	@Property(tries = 50, seed = "4711")
	void lastTurnsOfABudgetAreGiven(@ForAll long seed) {
		Site site = new Site(3, 6 * MOST, new Random(seed));
		for (int wave = 0; wave < 60; wave++) {
			site.wave();
		}
		assertThat(site.given).isGreaterThan(4 * MOST);
	}

	/**
	 * The relays, the links between them and their callers. Used by one thread.
	 */
	private static final class Site {

		private final List<RelayFixture> relays = new ArrayList<>();

		private final Map<Link, Deque<Runnable>> links = new HashMap<>();

		private final Map<String, Question> questions = new HashMap<>();

		private final List<Runnable> running = new ArrayList<>();

		private final long budget;

		private final Random random;

		private long given;

		private int turns;

		Site(int count, long budget, Random random) {
			this.budget = budget;
			this.random = random;
			for (int i = 0; i < count; i++) {
				RelayFixture relay = RelayFixture.ready();
				relay.on(new RelayEvent.ReachChanged(relay.now(), RelayEvent.Reach.ALL_RELAYS));
				this.relays.add(relay);
			}
		}

		void wave() {
			int size = 1 + this.random.nextInt(RelaySettings.TURNS_AT_ONCE);
			for (int i = 0; i < size; i++) {
				int relay = this.random.nextInt(this.relays.size());
				this.turns++;
				take(relay, this.relays.get(relay)
					.askTurn("t" + this.turns, "draft", RelayFixture.turn("p", this.budget, MOST, null)));
				if (this.random.nextBoolean()) {
					step();
				}
			}
			while (step()) {
				// Until nothing is under way.
			}
		}

		private boolean step() {
			List<Deque<Runnable>> ready = new ArrayList<>(
					this.links.values().stream().filter((link) -> !link.isEmpty()).toList());
			int choice = this.random.nextInt(ready.size() + this.running.size() + 1);
			if (choice < ready.size()) {
				ready.get(choice).pollFirst().run();
				return true;
			}
			if (choice < ready.size() + this.running.size()) {
				this.running.remove(choice - ready.size()).run();
				return true;
			}
			return !ready.isEmpty() || !this.running.isEmpty();
		}

		private void take(int from, List<RelayEffect> effects) {
			for (RelayEffect effect : effects) {
				switch (effect) {
					case RelayEffect.Write write -> toOthers(from, (to) -> tell(to, write.entry()));
					case RelayEffect.AskTaken ask -> ask(from, ask);
					case RelayEffect.TellTaken tell ->
						send(from, Integer.parseInt(tell.peer()), () -> answer(tell.request(), tell.tokens()));
					case RelayEffect.Send send -> this.running.add(() -> run(from, send));
					default -> {
					}
				}
			}
		}

		private void ask(int from, RelayEffect.AskTaken ask) {
			this.questions.put(ask.request(), new Question(from, this.relays.size() - 1));
			toOthers(from, (to) -> {
				RelayFixture relay = this.relays.get(to);
				take(to, relay
					.on(new RelayEvent.TakenAsked(relay.now(), Integer.toString(from), ask.request(), ask.program())));
			});
		}

		private void answer(String request, long tokens) {
			Question question = this.questions.get(request);
			question.most = Math.max(question.most, tokens);
			question.awaited--;
			if (question.awaited == 0) {
				RelayFixture relay = this.relays.get(question.from);
				take(question.from, relay.on(new RelayEvent.TakenTold(relay.now(), request, question.most)));
			}
		}

		private void tell(int to, LedgerEntry entry) {
			take(to, this.relays.get(to).told(entry));
		}

		private void toOthers(int from, Message message) {
			for (int to = 0; to < this.relays.size(); to++) {
				int other = to;
				if (other != from) {
					send(from, other, () -> message.arriveAt(other));
				}
			}
		}

		private void send(int from, int to, Runnable arrival) {
			this.links.computeIfAbsent(new Link(from, to), (link) -> new ArrayDeque<>()).add(arrival);
		}

		private void run(int at, RelayEffect.Send send) {
			RelayFixture relay = this.relays.get(at);
			long exchange = send.exchange();
			List<RelayEffect> effects = new ArrayList<>(
					relay.on(new RelayEvent.StreamOpened(relay.now(), exchange, send.attempt(), RelayFixture.SIGNED)));
			int events = this.random.nextInt(MOST / RelayFixture.TOKENS_PER_EVENT + 1);
			for (int i = 1; i <= events; i++) {
				byte[] data = { 'x' };
				effects.addAll(
						relay.on(new RelayEvent.EventArrived(relay.now(), exchange, send.attempt(), i, data, data)));
			}
			this.given += (long) RelayFixture.of(effects, RelayEffect.PassEvent.class).size()
					* RelayFixture.TOKENS_PER_EVENT;
			effects.addAll(relay.on(new RelayEvent.StreamEnded(relay.now(), exchange, send.attempt())));
			take(at, effects);
		}

	}

	/**
	 * A direction between two relays. Immutable.
	 *
	 * @param from who speaks
	 * @param to who hears
	 */
	private record Link(int from, int to) {

	}

	/**
	 * What happens when a message arrives. Used by one thread.
	 */
	@FunctionalInterface
	private interface Message {

		void arriveAt(int relay);

	}

	/**
	 * A question to all other relays. Used by one thread.
	 */
	private static final class Question {

		private final int from;

		private int awaited;

		private long most;

		Question(int from, int awaited) {
			this.from = from;
			this.awaited = awaited;
		}

	}

}
