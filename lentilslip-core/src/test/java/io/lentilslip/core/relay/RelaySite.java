package io.lentilslip.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import io.lentilslip.core.relay.RelayEvent.Connectivity;

/**
 * Some relays, the links between them, their log and their callers. Messages of one link
 * arrive in order and between links in any order. Used by one thread.
 */
final class RelaySite {

	static final int MOST = 100;

	private static final int EARLY = 20;

	private static final int REMINDERS = 8;

	private final List<Life> members = new ArrayList<>();

	private final Map<Link, Deque<Runnable>> links = new TreeMap<>();

	private final List<Runnable> running = new ArrayList<>();

	private final List<LedgerEntry> log = new ArrayList<>();

	private final long budget;

	private final boolean listed;

	private final Random random;

	private boolean logIsUp = true;

	private String program = "p";

	private long given;

	private int turns;

	private long messages;

	private RelaySite(int count, long budget, Random random, boolean listed) {
		this.budget = budget;
		this.random = random;
		this.listed = listed;
		for (int i = 0; i < count; i++) {
			this.members.add(new Life(i, RelayFixture.ready()));
		}
		this.members.forEach(this::list);
	}

	/**
	 * Returns relays that know nothing of each other but the links, each linked to all.
	 * @param count how many
	 * @param budget the budget of each program
	 * @param random the order of things
	 * @return the site
	 */
	static RelaySite linked(int count, long budget, Random random) {
		return new RelaySite(count, budget, random, false);
	}

	/**
	 * Returns relays that know of each other, so that programs have keepers.
	 * @param count how many
	 * @param budget the budget of each program
	 * @param random the order of things
	 * @return the site
	 */
	static RelaySite listed(int count, long budget, Random random) {
		return new RelaySite(count, budget, random, true);
	}

	private void list(Life life) {
		if (!this.listed) {
			return;
		}
		List<Member> all = new ArrayList<>();
		for (int i = 0; i < this.members.size(); i++) {
			all.add(new Member(Integer.toString(i), "zone-" + i % 3, 100));
		}
		life.relay.handle(new RelayEvent.ListenerStarted(life.relay.now(), Integer.toString(life.index)));
		life.relay.handle(new RelayEvent.MembershipUpdated(life.relay.now(), all));
	}

	/**
	 * Has all further turns be those of another program.
	 * @param next its name
	 */
	void program(String next) {
		this.program = next;
	}

	long given() {
		return this.given;
	}

	/**
	 * Returns how many messages relays have sent each other.
	 * @return the number
	 */
	long messages() {
		return this.messages;
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

	private void ask(Life member) {
		this.turns++;
		take(member, member.relay.sendTurn("t" + this.turns, "draft",
				RelayFixture.turn(this.program, this.budget, MOST, null)));
	}

	private void settle() {
		for (int round = 0; round < REMINDERS; round++) {
			while (step()) {
				// Until nothing is under way.
			}
			this.members.forEach(this::orderDue);
		}
		while (step()) {
			// Until nothing is under way.
		}
	}

	private void orderDue(Life member) {
		List<Long> due = List.copyOf(member.waiting);
		member.waiting.clear();
		for (long exchange : due) {
			take(member, member.relay
				.handle(new RelayEvent.TimerFired(member.relay.now(), exchange, RelayEvent.TimerKind.BUDGET_DECISION)));
		}
	}

	void logGoes() {
		this.logIsUp = false;
		this.members.forEach((member) -> reach(member, Connectivity.RELAYS));
	}

	/**
	 * Has the log go without a word: no relay finds out.
	 */
	void logFallsSilent() {
		this.logIsUp = false;
	}

	void logComes() {
		this.logIsUp = true;
		for (Life member : this.members) {
			member.turnedAway = false;
			reach(member, Connectivity.LOG);
		}
		settle();
		this.members.forEach(this::catchUp);
	}

	void turnAway(int member) {
		this.members.get(member).turnedAway = true;
		reach(this.members.get(member), Connectivity.RELAYS);
	}

	private void reach(Life member, Connectivity reach) {
		take(member, member.relay.handle(new RelayEvent.ConnectivityChanged(member.relay.now(), reach)));
	}

	void restart(int index) {
		lose(index);
		Life member = this.members.get(index);
		reach(member, this.logIsUp ? Connectivity.LOG : Connectivity.RELAYS);
		for (Life other : this.members) {
			if (other != member && !this.listed) {
				link(other, member);
				link(member, other);
			}
		}
		settle();
		if (this.logIsUp) {
			catchUp(member);
		}
	}

	/**
	 * Has waves of turns, between which the log goes and comes and relays start again.
	 */
	void goThroughOutagesAndRestarts() {
		for (int wave = 0; wave < 12; wave++) {
			wave(1 + this.random.nextInt(3));
			switch (this.random.nextInt(8)) {
				case 0 -> logGoes();
				case 1 -> logComes();
				case 2 -> restart(this.random.nextInt(this.members.size()));
				default -> {
				}
			}
		}
		wave(2);
	}

	/**
	 * Loses all relays while the log is away, and has the program go on when it is back.
	 */
	void loseAllBeforeTheLogIsBack() {
		loseAll();
		logComes();
		for (int wave = 0; wave < 15; wave++) {
			wave(1);
		}
	}

	private void loseAll() {
		this.running.clear();
		for (int i = 0; i < this.members.size(); i++) {
			lose(i);
		}
		for (Life member : this.members) {
			if (!this.listed) {
				this.members.stream().filter((other) -> other != member).forEach((other) -> link(member, other));
			}
		}
	}

	private void lose(int index) {
		this.links.keySet().removeIf((link) -> link.from() == index || link.to() == index);
		this.members.set(index, new Life(index, RelayFixture.afterRestart()));
		list(this.members.get(index));
	}

	private void link(Life from, Life to) {
		take(from, from.relay.handle(new RelayEvent.PeerConnected(from.relay.now(), Integer.toString(to.index))));
	}

	private void catchUp(Life member) {
		read(member);
		if (!member.caughtUp) {
			member.caughtUp = true;
			take(member, member.relay.handle(RelayFixture.caughtUp(member.relay.now())));
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
		for (Life member : this.members) {
			if (this.listed && !member.waiting.isEmpty() && this.random.nextInt(EARLY) == 0) {
				ready.add(() -> orderDue(member));
			}
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

	private boolean reachesLog(Life member) {
		return this.logIsUp && !member.turnedAway;
	}

	private void append(Life member) {
		this.log.addAll(member.unwritten);
		member.unwritten.clear();
	}

	private void read(Life member) {
		LedgerEntry[] entries = this.log.subList(member.read, this.log.size()).toArray(new LedgerEntry[0]);
		member.read = this.log.size();
		take(member, member.relay.readFromLog(entries));
	}

	private void take(Life from, List<RelayEffect> effects) {
		for (RelayEffect effect : effects) {
			switch (effect) {
				case RelayEffect.AppendEntry write -> {
					from.unwritten.add(write.entry());
					if (this.listed) {
						toSome(from, write.replicas(), (to) -> tell(from, to, write.entry()));
					}
					else {
						toOthers(from, (to) -> tell(to, write.entry()));
					}
				}
				case RelayEffect.RequestReservation ask -> {
					if (ask.peers().isEmpty()) {
						toOthers(from, (to) -> ask(from, to, ask));
					}
					else {
						toSome(from, ask.peers(), (to) -> ask(from, to, ask));
					}
				}
				case RelayEffect.RequestSync ignored -> toOthers(from, (to) -> take(to,
						to.relay.handle(new RelayEvent.SyncRequested(to.relay.now(), Integer.toString(from.index)))));
				case RelayEffect.SendUsageUnavailable tell -> send(from, Integer.parseInt(tell.peer()),
						(to) -> take(to, to.relay.handle(new RelayEvent.UsageUnavailable(to.relay.now(),
								Integer.toString(from.index), tell.request()))));
				case RelayEffect.RequestLogReservation ask ->
					send(from, Integer.parseInt(ask.peer()), (to) -> place(from, to, ask));
				case RelayEffect.SendUsage tell -> send(from, Integer.parseInt(tell.peer()), (to) -> {
					tell.entries().forEach((entry) -> tell(to, entry));
					take(to, to.relay.handle(
							new RelayEvent.UsageReceived(to.relay.now(), Integer.toString(from.index), tell.request(),
									tell.tokens(), tell.uncommitted(), tell.logReachable(), this.members.size() - 1)));
				});
				case RelayEffect.SendLogDecision tell ->
					send(from, Integer.parseInt(tell.peer()), (to) -> take(to, to.relay
						.handle(new RelayEvent.LogDecisionReceived(to.relay.now(), tell.request(), tell.admitted()))));
				case RelayEffect.SendSync tell -> tellUnlogged(from, tell);
				case RelayEffect.SendRequest send -> this.running.add(() -> run(from, send));
				case RelayEffect.StartTimer remind -> {
					if (remind.timer() == RelayEvent.TimerKind.BUDGET_DECISION) {
						from.waiting.add(remind.exchange());
					}
				}
				default -> {
				}
			}
		}
	}

	private void ask(Life from, Life to, RelayEffect.RequestReservation ask) {
		take(to, to.relay.handle(new RelayEvent.ReservationRequested(to.relay.now(), Integer.toString(from.index),
				ask.request(), ask.program(), ask.maxTokens(), ask.budget(), false)));
	}

	private void place(Life from, Life to, RelayEffect.RequestLogReservation ask) {
		take(to, to.relay.handle(new RelayEvent.ReservationRequested(to.relay.now(), Integer.toString(from.index),
				ask.request(), ask.program(), ask.maxTokens(), ask.budget(), true)));
	}

	private void tellUnlogged(Life from, RelayEffect.SendSync tell) {
		List<LedgerEntry> entries = new ArrayList<>(from.unwritten);
		entries.addAll(tell.entries());
		send(from, Integer.parseInt(tell.peer()), (to) -> {
			entries.forEach((entry) -> tell(to, entry));
			if (tell.complete()) {
				take(to, to.relay.handle(new RelayEvent.SyncCompleted(to.relay.now(), Integer.toString(from.index),
						this.members.size() - 1)));
			}
		});
	}

	private void tell(Life to, LedgerEntry entry) {
		take(to, to.relay.readFromPeer(entry));
	}

	private void tell(Life from, Life to, LedgerEntry entry) {
		take(to, to.relay.handle(new RelayEvent.EntriesReceived(to.relay.now(), List.of(entry),
				Optional.of(Integer.toString(from.index)))));
	}

	private void toSome(Life from, List<String> peers, Message message) {
		peers.forEach((peer) -> send(from, Integer.parseInt(peer), message));
	}

	private void toOthers(Life from, Message message) {
		for (Life to : this.members) {
			if (to != from) {
				send(from, to.index, message);
			}
		}
	}

	private void send(Life from, int to, Message message) {
		if (this.members.get(from.index) != from) {
			return;
		}
		this.messages++;
		this.links.computeIfAbsent(new Link(from.index, to), (link) -> new ArrayDeque<>())
			.add(() -> message.arriveAt(this.members.get(to)));
	}

	private void run(Life at, RelayEffect.SendRequest send) {
		if (this.members.get(at.index) != at) {
			return;
		}
		RelayFixture relay = at.relay;
		long exchange = send.exchange();
		List<RelayEffect> effects = new ArrayList<>(
				relay.handle(new RelayEvent.StreamOpened(relay.now(), exchange, send.attempt(), RelayFixture.SIGNED)));
		for (int i = 1; i <= MOST / RelayFixture.TOKENS_PER_EVENT; i++) {
			byte[] data = { 'x' };
			effects.addAll(relay
				.handle(new RelayEvent.StreamEventReceived(relay.now(), exchange, send.attempt(), i, data, data)));
		}
		this.given += (long) RelayFixture.ofType(effects, RelayEffect.ForwardStreamEvent.class).size()
				* RelayFixture.TOKENS_PER_EVENT;
		effects.addAll(relay.handle(new RelayEvent.StreamEnded(relay.now(), exchange, send.attempt())));
		take(at, effects);
	}

	/**
	 * One life of a relay. Used by one thread.
	 */
	private static final class Life {

		private final int index;

		private final RelayFixture relay;

		private final List<LedgerEntry> unwritten = new ArrayList<>();

		private final List<Long> waiting = new ArrayList<>();

		private int read;

		private boolean caughtUp;

		private boolean turnedAway;

		Life(int index, RelayFixture relay) {
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

		void arriveAt(Life relay);

	}

}
