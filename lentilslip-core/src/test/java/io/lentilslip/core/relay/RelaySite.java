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
 * Simulation of several relays, their connections, their log and their callers. Messages
 * of one connection arrive in order, those of different connections in any order. Used by
 * one thread.
 */
final class RelaySite {

	static final int MAX_TOKENS = 100;

	private static final int EARLY_TIMER_ODDS = 20;

	private static final int TIMER_ROUNDS = 8;

	private final List<Instance> instances = new ArrayList<>();

	private final Map<Connection, Deque<Runnable>> connections = new TreeMap<>();

	private final List<Runnable> running = new ArrayList<>();

	private final List<LedgerEntry> log = new ArrayList<>();

	private final long budget;

	private final boolean hasMembership;

	private final Random random;

	private boolean logAvailable = true;

	private String program = "p";

	private long deliveredTokens;

	private int turns;

	private long messageCount;

	private RelaySite(int count, long budget, Random random, boolean hasMembership) {
		this.budget = budget;
		this.random = random;
		this.hasMembership = hasMembership;
		for (int i = 0; i < count; i++) {
			this.instances.add(new Instance(i, RelayFixture.ready()));
		}
		this.instances.forEach(this::updateMembership);
	}

	/**
	 * Returns relays without a member list, each connected to all others.
	 * @param count the number of relays
	 * @param budget the budget of each program in tokens
	 * @param random the source of the order of all steps
	 * @return the site
	 */
	static RelaySite connected(int count, long budget, Random random) {
		return new RelaySite(count, budget, random, false);
	}

	/**
	 * Returns relays with a member list, so that programs have replicas.
	 * @param count the number of relays
	 * @param budget the budget of each program in tokens
	 * @param random the source of the order of all steps
	 * @return the site
	 */
	static RelaySite withMembership(int count, long budget, Random random) {
		return new RelaySite(count, budget, random, true);
	}

	private void updateMembership(Instance instance) {
		if (!this.hasMembership) {
			return;
		}
		List<Member> all = new ArrayList<>();
		for (int i = 0; i < this.instances.size(); i++) {
			all.add(new Member(Integer.toString(i), "zone-" + i % 3, 100));
		}
		instance.relay.handle(new RelayEvent.ListenerStarted(instance.relay.now(), Integer.toString(instance.index)));
		instance.relay.handle(new RelayEvent.MembershipUpdated(instance.relay.now(), all));
	}

	/**
	 * Makes all further turns belong to another program.
	 * @param next its name
	 */
	void switchProgram(String next) {
		this.program = next;
	}

	long deliveredTokens() {
		return this.deliveredTokens;
	}

	/**
	 * Returns the number of messages between relays.
	 * @return the number
	 */
	long messageCount() {
		return this.messageCount;
	}

	void runTurns(int count) {
		for (int i = 0; i < count; i++) {
			startTurn(this.instances.get(this.random.nextInt(this.instances.size())));
			if (this.random.nextBoolean()) {
				step();
			}
		}
		runUntilIdle();
	}

	void runTurnAt(int instance) {
		startTurn(this.instances.get(instance));
		runUntilIdle();
	}

	private void startTurn(Instance instance) {
		this.turns++;
		apply(instance, instance.relay.sendTurn("t" + this.turns, "draft",
				RelayFixture.turn(this.program, this.budget, MAX_TOKENS, null)));
	}

	private void runUntilIdle() {
		for (int round = 0; round < TIMER_ROUNDS; round++) {
			while (step()) {
				// Repeats until no step is ready.
			}
			this.instances.forEach(this::fireTimers);
		}
		while (step()) {
			// Repeats until no step is ready.
		}
	}

	private void fireTimers(Instance instance) {
		List<Long> due = List.copyOf(instance.timers);
		instance.timers.clear();
		for (long exchange : due) {
			apply(instance, instance.relay.handle(
					new RelayEvent.TimerFired(instance.relay.now(), exchange, RelayEvent.TimerKind.BUDGET_DECISION)));
		}
	}

	void stopLog() {
		this.logAvailable = false;
		this.instances.forEach((instance) -> changeConnectivity(instance, Connectivity.RELAYS));
	}

	/**
	 * Stops the log without any relay detecting it.
	 */
	void stopLogUndetected() {
		this.logAvailable = false;
	}

	void restoreLog() {
		this.logAvailable = true;
		for (Instance instance : this.instances) {
			instance.logAccessDenied = false;
			changeConnectivity(instance, Connectivity.LOG);
		}
		runUntilIdle();
		this.instances.forEach(this::catchUp);
	}

	void denyLogAccess(int instance) {
		this.instances.get(instance).logAccessDenied = true;
		changeConnectivity(this.instances.get(instance), Connectivity.RELAYS);
	}

	private void changeConnectivity(Instance instance, Connectivity connectivity) {
		apply(instance, instance.relay.handle(new RelayEvent.ConnectivityChanged(instance.relay.now(), connectivity)));
	}

	void restart(int index) {
		lose(index);
		Instance instance = this.instances.get(index);
		changeConnectivity(instance, this.logAvailable ? Connectivity.LOG : Connectivity.RELAYS);
		for (Instance other : this.instances) {
			if (other != instance && !this.hasMembership) {
				connect(other, instance);
				connect(instance, other);
			}
		}
		runUntilIdle();
		if (this.logAvailable) {
			catchUp(instance);
		}
	}

	/**
	 * Runs turns, with outages of the log and restarts of relays between them.
	 */
	void runWithOutagesAndRestarts() {
		for (int round = 0; round < 12; round++) {
			runTurns(1 + this.random.nextInt(3));
			switch (this.random.nextInt(8)) {
				case 0 -> stopLog();
				case 1 -> restoreLog();
				case 2 -> restart(this.random.nextInt(this.instances.size()));
				default -> {
				}
			}
		}
		runTurns(2);
	}

	/**
	 * Loses all relays, restores the log afterwards and runs more turns of the program.
	 */
	void loseAllRelaysBeforeLogIsRestored() {
		loseAllRelays();
		restoreLog();
		for (int round = 0; round < 15; round++) {
			runTurns(1);
		}
	}

	private void loseAllRelays() {
		this.running.clear();
		for (int i = 0; i < this.instances.size(); i++) {
			lose(i);
		}
		for (Instance instance : this.instances) {
			if (!this.hasMembership) {
				this.instances.stream()
					.filter((other) -> other != instance)
					.forEach((other) -> connect(instance, other));
			}
		}
	}

	private void lose(int index) {
		this.connections.keySet().removeIf((connection) -> connection.from() == index || connection.to() == index);
		this.instances.set(index, new Instance(index, RelayFixture.afterRestart()));
		updateMembership(this.instances.get(index));
	}

	private void connect(Instance from, Instance to) {
		apply(from, from.relay.handle(new RelayEvent.PeerConnected(from.relay.now(), Integer.toString(to.index))));
	}

	private void catchUp(Instance instance) {
		read(instance);
		if (!instance.caughtUp) {
			instance.caughtUp = true;
			apply(instance, instance.relay.handle(RelayFixture.caughtUp(instance.relay.now())));
		}
	}

	private boolean step() {
		List<Runnable> ready = new ArrayList<>();
		this.connections.values()
			.stream()
			.filter((connection) -> !connection.isEmpty())
			.forEach((connection) -> ready.add(() -> connection.pollFirst().run()));
		for (Runnable run : this.running) {
			ready.add(() -> {
				this.running.remove(run);
				run.run();
			});
		}
		for (Instance instance : this.instances) {
			if (this.hasMembership && !instance.timers.isEmpty() && this.random.nextInt(EARLY_TIMER_ODDS) == 0) {
				ready.add(() -> fireTimers(instance));
			}
			if (reachesLog(instance) && !instance.unappended.isEmpty()) {
				ready.add(() -> append(instance));
			}
			if (reachesLog(instance) && instance.caughtUp && instance.read < this.log.size()) {
				ready.add(() -> read(instance));
			}
		}
		if (ready.isEmpty()) {
			return false;
		}
		ready.get(this.random.nextInt(ready.size())).run();
		return true;
	}

	private boolean reachesLog(Instance instance) {
		return this.logAvailable && !instance.logAccessDenied;
	}

	private void append(Instance instance) {
		this.log.addAll(instance.unappended);
		instance.unappended.clear();
	}

	private void read(Instance instance) {
		LedgerEntry[] entries = this.log.subList(instance.read, this.log.size()).toArray(new LedgerEntry[0]);
		instance.read = this.log.size();
		apply(instance, instance.relay.readFromLog(entries));
	}

	private void apply(Instance from, List<RelayEffect> effects) {
		for (RelayEffect effect : effects) {
			switch (effect) {
				case RelayEffect.AppendEntry append -> {
					from.unappended.add(append.entry());
					if (this.hasMembership) {
						sendToPeers(from, append.replicas(), (to) -> replicate(from, to, append.entry()));
					}
					else {
						sendToOthers(from, (to) -> replicate(to, append.entry()));
					}
				}
				case RelayEffect.RequestReservation request -> {
					if (request.peers().isEmpty()) {
						sendToOthers(from, (to) -> requestReservation(from, to, request));
					}
					else {
						sendToPeers(from, request.peers(), (to) -> requestReservation(from, to, request));
					}
				}
				case RelayEffect.RequestSync ignored -> sendToOthers(from, (to) -> apply(to,
						to.relay.handle(new RelayEvent.SyncRequested(to.relay.now(), Integer.toString(from.index)))));
				case RelayEffect.SendUsageUnavailable reply -> send(from, Integer.parseInt(reply.peer()),
						(to) -> apply(to, to.relay.handle(new RelayEvent.UsageUnavailable(to.relay.now(),
								Integer.toString(from.index), reply.run()))));
				case RelayEffect.RequestLogReservation request ->
					send(from, Integer.parseInt(request.peer()), (to) -> requestLogReservation(from, to, request));
				case RelayEffect.SendUsage reply -> send(from, Integer.parseInt(reply.peer()), (to) -> {
					reply.entries().forEach((entry) -> replicate(to, entry));
					apply(to,
							to.relay.handle(new RelayEvent.UsageReceived(to.relay.now(), Integer.toString(from.index),
									reply.run(), reply.tokens(), reply.uncommitted(), reply.logReachable(),
									this.instances.size() - 1)));
				});
				case RelayEffect.SendLogDecision reply ->
					send(from, Integer.parseInt(reply.peer()), (to) -> apply(to, to.relay
						.handle(new RelayEvent.LogDecisionReceived(to.relay.now(), reply.run(), reply.admitted()))));
				case RelayEffect.SendSync sync -> sendSync(from, sync);
				case RelayEffect.SendRequest send -> this.running.add(() -> run(from, send));
				case RelayEffect.StartTimer start -> {
					if (start.timer() == RelayEvent.TimerKind.BUDGET_DECISION) {
						from.timers.add(start.exchange());
					}
				}
				default -> {
				}
			}
		}
	}

	private void requestReservation(Instance from, Instance to, RelayEffect.RequestReservation request) {
		apply(to, to.relay.handle(new RelayEvent.ReservationRequested(to.relay.now(), Integer.toString(from.index),
				request.run(), request.program(), request.maxTokens(), request.budget(), false)));
	}

	private void requestLogReservation(Instance from, Instance to, RelayEffect.RequestLogReservation request) {
		apply(to, to.relay.handle(new RelayEvent.ReservationRequested(to.relay.now(), Integer.toString(from.index),
				request.run(), request.program(), request.maxTokens(), request.budget(), true)));
	}

	private void sendSync(Instance from, RelayEffect.SendSync sync) {
		List<LedgerEntry> entries = new ArrayList<>(from.unappended);
		entries.addAll(sync.entries());
		send(from, Integer.parseInt(sync.peer()), (to) -> {
			entries.forEach((entry) -> replicate(to, entry));
			if (sync.complete()) {
				apply(to, to.relay.handle(new RelayEvent.SyncCompleted(to.relay.now(), Integer.toString(from.index),
						this.instances.size() - 1)));
			}
		});
	}

	private void replicate(Instance to, LedgerEntry entry) {
		apply(to, to.relay.readFromPeer(entry));
	}

	private void replicate(Instance from, Instance to, LedgerEntry entry) {
		apply(to, to.relay.handle(new RelayEvent.EntriesReceived(to.relay.now(), List.of(entry),
				Optional.of(Integer.toString(from.index)))));
	}

	private void sendToPeers(Instance from, List<String> peers, Message message) {
		peers.forEach((peer) -> send(from, Integer.parseInt(peer), message));
	}

	private void sendToOthers(Instance from, Message message) {
		for (Instance to : this.instances) {
			if (to != from) {
				send(from, to.index, message);
			}
		}
	}

	private void send(Instance from, int to, Message message) {
		if (this.instances.get(from.index) != from) {
			return;
		}
		this.messageCount++;
		this.connections.computeIfAbsent(new Connection(from.index, to), (connection) -> new ArrayDeque<>())
			.add(() -> message.deliverTo(this.instances.get(to)));
	}

	private void run(Instance at, RelayEffect.SendRequest send) {
		if (this.instances.get(at.index) != at) {
			return;
		}
		RelayFixture relay = at.relay;
		long exchange = send.exchange();
		List<RelayEffect> effects = new ArrayList<>(
				relay.handle(new RelayEvent.StreamOpened(relay.now(), exchange, send.attempt(), RelayFixture.SIGNED)));
		for (int i = 1; i <= MAX_TOKENS / RelayFixture.TOKENS_PER_EVENT; i++) {
			byte[] data = { 'x' };
			effects.addAll(relay
				.handle(new RelayEvent.StreamEventReceived(relay.now(), exchange, send.attempt(), i, data, data)));
		}
		this.deliveredTokens += (long) RelayFixture.ofType(effects, RelayEffect.ForwardStreamEvent.class).size()
				* RelayFixture.TOKENS_PER_EVENT;
		effects.addAll(relay.handle(new RelayEvent.StreamEnded(relay.now(), exchange, send.attempt())));
		apply(at, effects);
	}

	/**
	 * One incarnation of a relay. Used by one thread.
	 */
	private static final class Instance {

		private final int index;

		private final RelayFixture relay;

		private final List<LedgerEntry> unappended = new ArrayList<>();

		private final List<Long> timers = new ArrayList<>();

		private int read;

		private boolean caughtUp;

		private boolean logAccessDenied;

		Instance(int index, RelayFixture relay) {
			this.index = index;
			this.relay = relay;
			this.caughtUp = relay.caughtUp();
		}

	}

	/**
	 * One direction of the connection between two relays. Immutable.
	 *
	 * @param from the sender
	 * @param to the receiver
	 */
	private record Connection(int from, int to) implements Comparable<Connection> {

		@Override
		public int compareTo(Connection other) {
			return (this.from != other.from) ? Integer.compare(this.from, other.from)
					: Integer.compare(this.to, other.to);
		}

	}

	/**
	 * A message in flight. Used by one thread.
	 */
	@FunctionalInterface
	private interface Message {

		void deliverTo(Instance relay);

	}

}
