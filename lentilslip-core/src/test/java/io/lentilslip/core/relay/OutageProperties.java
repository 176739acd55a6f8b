package io.lentilslip.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import io.lentilslip.core.relay.RelayEvent.Reach;
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

	private static final int MOST = 100;

	@Property(tries = 1500, seed = "4711")
	void budgetHoldsOverOutagesAndLosses(@ForAll @IntRange(min = 3, max = 7) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		Random random = new Random(seed);
		Site site = new Site(relays, (long) turnsOfBudget * MOST, random);
		for (int wave = 0; wave < 12; wave++) {
			site.wave(1 + random.nextInt(3));
			switch (random.nextInt(8)) {
				case 0 -> site.logGoes();
				case 1 -> site.logComes();
				case 2 -> site.restart(random.nextInt(relays));
				default -> {
				}
			}
		}
		site.wave(2);
		assertThat(site.given).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
	}

	// What broke when the agreement of relays was first tried: a looping program is given
	// turns while the store is down, all relays are lost before it is back, and the
	// program comes again to relays that know nothing of it.
	@Property(tries = 400, seed = "776982295391")
	void budgetHoldsOverTheLossOfAllRelaysInAnOutage(@ForAll @IntRange(min = 3, max = 7) int relays,
			@ForAll @IntRange(min = 1, max = 12) int turnsOfBudget, @ForAll long seed) {
		Site site = new Site(relays, (long) turnsOfBudget * MOST, new Random(seed));
		site.logGoes();
		for (int wave = 0; wave < 15; wave++) {
			site.wave(1);
		}
		assertThat(site.given).isGreaterThanOrEqualTo(MOST);
		site.loseAll();
		site.logComes();
		for (int wave = 0; wave < 15; wave++) {
			site.wave(1);
		}
		assertThat(site.given).isLessThanOrEqualTo((long) turnsOfBudget * MOST + MOST);
	}

	// A property that nothing can break shows nothing: in an outage programs do get half
	// of their budgets, and all of them once the log is back.
	@Property(tries = 100, seed = "4713")
	void programsGoOnInAnOutage(@ForAll long seed) {
		Site site = new Site(7, 10 * MOST, new Random(seed));
		site.logGoes();
		for (int wave = 0; wave < 30; wave++) {
			site.wave(1);
		}
		assertThat(site.given).isBetween(4L * MOST, 5L * MOST);
		site.logComes();
		for (int wave = 0; wave < 30; wave++) {
			site.wave(1);
		}
		assertThat(site.given).isGreaterThan(9L * MOST);
	}

	// Three of seven relays die in an outage. The four that are left are a majority.
	@Property(tries = 50, seed = "4714")
	void majorityOfRelaysIsEnough(@ForAll long seed) {
		Site site = new Site(7, 10 * MOST, new Random(seed));
		site.logGoes();
		for (int relay = 0; relay < 3; relay++) {
			site.restart(relay);
		}
		for (int wave = 0; wave < 60; wave++) {
			site.wave(1);
		}
		assertThat(site.given).isGreaterThan(4L * MOST);
	}

	// The store turns three of seven relays away and serves the others. These get the
	// turns of the three their places in the log, so programs get all of their budgets.
	@Property(tries = 50, seed = "4715")
	void relaysThatTheLogTurnsAwayGetPlacesThroughOthers(@ForAll long seed) {
		Site site = new Site(7, 10 * MOST, new Random(seed));
		for (int relay = 0; relay < 3; relay++) {
			site.turnAway(relay);
		}
		for (int wave = 0; wave < 60; wave++) {
			site.waveAt(site.random.nextInt(3));
		}
		assertThat(site.given).isBetween(9L * MOST, 10L * MOST);
	}

	/**
	 * The relays, the links between them, their log and their callers. Used by one
	 * thread.
	 */
	private static final class Site {

		private final List<Member> members = new ArrayList<>();

		private final Map<Link, Deque<Runnable>> links = new TreeMap<>();

		private final List<Runnable> running = new ArrayList<>();

		private final List<LedgerEntry> log = new ArrayList<>();

		private final long budget;

		private final Random random;

		private boolean logIsUp = true;

		private long given;

		private int turns;

		Site(int count, long budget, Random random) {
			this.budget = budget;
			this.random = random;
			for (int i = 0; i < count; i++) {
				this.members.add(new Member(i, RelayFixture.ready()));
			}
		}

		void wave(int size) {
			for (int i = 0; i < size; i++) {
				ask(this.members.get(this.random.nextInt(this.members.size())));
				if (this.random.nextBoolean()) {
					step();
				}
			}
			settle();
		}

		void waveAt(int member) {
			ask(this.members.get(member));
			settle();
		}

		private void ask(Member member) {
			this.turns++;
			take(member,
					member.relay.askTurn("t" + this.turns, "draft", RelayFixture.turn("p", this.budget, MOST, null)));
			member.waiting.add(member.relay.exchange());
		}

		private void settle() {
			for (int round = 0; round < 4; round++) {
				while (step()) {
					// Until nothing is under way.
				}
				this.members.forEach(this::orderDue);
			}
			while (step()) {
				// Until nothing is under way.
			}
		}

		private void orderDue(Member member) {
			for (long exchange : List.copyOf(member.waiting)) {
				take(member, member.relay
					.on(new RelayEvent.Reminded(member.relay.now(), exchange, RelayEvent.Reminder.ORDER)));
			}
			member.waiting.clear();
		}

		void logGoes() {
			this.logIsUp = false;
			this.members.forEach((member) -> reach(member, Reach.RELAYS));
		}

		void logComes() {
			this.logIsUp = true;
			for (Member member : this.members) {
				member.turnedAway = false;
				reach(member, Reach.LOG);
			}
			settle();
			this.members.forEach(this::catchUp);
		}

		void turnAway(int member) {
			this.members.get(member).turnedAway = true;
			reach(this.members.get(member), Reach.RELAYS);
		}

		private void reach(Member member, Reach reach) {
			take(member, member.relay.on(new RelayEvent.ReachChanged(member.relay.now(), reach)));
		}

		void restart(int index) {
			lose(index);
			Member member = this.members.get(index);
			reach(member, this.logIsUp ? Reach.LOG : Reach.RELAYS);
			for (Member other : this.members) {
				if (other != member) {
					link(other, member);
					link(member, other);
				}
			}
			settle();
			if (this.logIsUp) {
				catchUp(member);
			}
		}

		void loseAll() {
			this.running.clear();
			for (int i = 0; i < this.members.size(); i++) {
				lose(i);
			}
			for (Member member : this.members) {
				this.members.stream().filter((other) -> other != member).forEach((other) -> link(member, other));
			}
		}

		private void lose(int index) {
			this.links.keySet().removeIf((link) -> link.from() == index || link.to() == index);
			this.members.set(index, new Member(index, RelayFixture.afterLoss()));
		}

		private void link(Member from, Member to) {
			take(from, from.relay.on(new RelayEvent.PeerLinked(from.relay.now(), Integer.toString(to.index))));
		}

		private void catchUp(Member member) {
			read(member);
			if (!member.caughtUp) {
				member.caughtUp = true;
				take(member, member.relay.on(RelayFixture.caughtUp(member.relay.now())));
			}
		}

		private boolean step() {
			List<Runnable> ready = new ArrayList<>();
			this.links.values()
				.stream()
				.filter((link) -> !link.isEmpty())
				.forEach((link) -> ready.add(() -> link.pollFirst().run()));
			for (Runnable run : this.running) {
				ready.add(() -> {
					this.running.remove(run);
					run.run();
				});
			}
			for (Member member : this.members) {
				if (reachesLog(member) && !member.unwritten.isEmpty()) {
					ready.add(() -> append(member));
				}
				if (reachesLog(member) && member.caughtUp && member.read < this.log.size()) {
					ready.add(() -> read(member));
				}
			}
			if (ready.isEmpty()) {
				return false;
			}
			ready.get(this.random.nextInt(ready.size())).run();
			return true;
		}

		private boolean reachesLog(Member member) {
			return this.logIsUp && !member.turnedAway;
		}

		private void append(Member member) {
			this.log.addAll(member.unwritten);
			member.unwritten.clear();
		}

		private void read(Member member) {
			LedgerEntry[] entries = this.log.subList(member.read, this.log.size()).toArray(new LedgerEntry[0]);
			member.read = this.log.size();
			take(member, member.relay.readFromLog(entries));
		}

		private void take(Member from, List<RelayEffect> effects) {
			for (RelayEffect effect : effects) {
				switch (effect) {
					case RelayEffect.Write write -> {
						from.unwritten.add(write.entry());
						toOthers(from, (to) -> tell(to, write.entry()));
					}
					case RelayEffect.AskTaken ask -> toOthers(from, (to) -> ask(from, to, ask));
					case RelayEffect.AskPlace ask ->
						send(from, Integer.parseInt(ask.peer()), (to) -> place(from, to, ask));
					case RelayEffect.TellTaken tell -> send(from, Integer.parseInt(tell.peer()), (to) -> {
						tell.entries().forEach((entry) -> tell(to, entry));
						take(to, to.relay.on(new RelayEvent.TakenTold(to.relay.now(), Integer.toString(from.index),
								tell.request(), tell.tokens(), tell.log(), this.members.size() - 1)));
					});
					case RelayEffect.TellPlace tell -> send(from, Integer.parseInt(tell.peer()), (to) -> take(to,
							to.relay.on(new RelayEvent.PlaceTold(to.relay.now(), tell.request(), tell.held()))));
					case RelayEffect.TellUnlogged tell -> tellUnlogged(from, tell);
					case RelayEffect.Send send -> this.running.add(() -> run(from, send));
					default -> {
					}
				}
			}
		}

		private void ask(Member from, Member to, RelayEffect.AskTaken ask) {
			take(to, to.relay.on(new RelayEvent.TakenAsked(to.relay.now(), Integer.toString(from.index), ask.request(),
					ask.program(), ask.most(), ask.budget(), false)));
		}

		private void place(Member from, Member to, RelayEffect.AskPlace ask) {
			take(to, to.relay.on(new RelayEvent.TakenAsked(to.relay.now(), Integer.toString(from.index), ask.request(),
					ask.program(), ask.most(), ask.budget(), true)));
		}

		private void tellUnlogged(Member from, RelayEffect.TellUnlogged tell) {
			List<LedgerEntry> entries = new ArrayList<>(from.unwritten);
			entries.addAll(tell.entries());
			send(from, Integer.parseInt(tell.peer()), (to) -> {
				entries.forEach((entry) -> tell(to, entry));
				if (tell.complete()) {
					take(to, to.relay.on(new RelayEvent.PeerTold(to.relay.now(), Integer.toString(from.index),
							this.members.size() - 1)));
				}
			});
		}

		private void tell(Member to, LedgerEntry entry) {
			take(to, to.relay.told(entry));
		}

		private void toOthers(Member from, Message message) {
			for (Member to : this.members) {
				if (to != from) {
					send(from, to.index, message);
				}
			}
		}

		private void send(Member from, int to, Message message) {
			if (this.members.get(from.index) != from) {
				return;
			}
			this.links.computeIfAbsent(new Link(from.index, to), (link) -> new ArrayDeque<>())
				.add(() -> message.arriveAt(this.members.get(to)));
		}

		private void run(Member at, RelayEffect.Send send) {
			if (this.members.get(at.index) != at) {
				return;
			}
			RelayFixture relay = at.relay;
			long exchange = send.exchange();
			List<RelayEffect> effects = new ArrayList<>(
					relay.on(new RelayEvent.StreamOpened(relay.now(), exchange, send.attempt(), RelayFixture.SIGNED)));
			for (int i = 1; i <= MOST / RelayFixture.TOKENS_PER_EVENT; i++) {
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
	 * One life of a relay. Used by one thread.
	 */
	private static final class Member {

		private final int index;

		private final RelayFixture relay;

		private final List<LedgerEntry> unwritten = new ArrayList<>();

		private final List<Long> waiting = new ArrayList<>();

		private int read;

		private boolean caughtUp;

		private boolean turnedAway;

		Member(int index, RelayFixture relay) {
			this.index = index;
			this.relay = relay;
			this.caughtUp = relay.caughtUp();
		}

	}

	/**
	 * A direction between two relays. Immutable.
	 *
	 * @param from who speaks
	 * @param to who hears
	 */
	private record Link(int from, int to) implements Comparable<Link> {

		@Override
		public int compareTo(Link other) {
			return (this.from != other.from) ? Integer.compare(this.from, other.from)
					: Integer.compare(this.to, other.to);
		}

	}

	/**
	 * What happens when a message arrives. Used by one thread.
	 */
	@FunctionalInterface
	private interface Message {

		void arriveAt(Member relay);

	}

}
