package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import io.lentilslip.core.quota.Quota;
import io.lentilslip.core.quota.QuotaTolerance;

/**
 * Simulates relays that enforce quotas, in virtual time: messages are delayed, and relays
 * are killed, paused and restarted. Requests complete as soon as they are sent. Not
 * thread-safe.
 */
final class QuotaSite {

	static final QuotaTolerance TOLERANCE = QuotaTolerance.standard();

	private static final long MIN_LATENCY_MS = 1;

	private static final int LATENCY_JITTER_MS = 6;

	private static final long START_MS = 1000;

	private final PriorityQueue<Step> schedule = new PriorityQueue<>();

	private final List<RelayInstance> relays = new ArrayList<>();

	private final Map<String, List<Long>> completed = new HashMap<>();

	private final Map<String, List<Run>> runs = new HashMap<>();

	private final Map<String, List<Long>> rejected = new HashMap<>();

	private final List<Disturbance> disturbances = new ArrayList<>();

	private final Set<Integer> excluded = new HashSet<>();

	private final Map<String, Integer> completedByProgram = new HashMap<>();

	private final Map<Long, Program> programs = new HashMap<>();

	private final Map<Long, Long> sentAt = new HashMap<>();

	private RouteTable table;

	private final Random random;

	private long now = START_MS;

	private long sequence;

	private long exchanges;

	private long messages;

	private long delayed;

	private long requests;

	private QuotaSite(int count, Map<String, Quota> quotas, Random random) {
		this.random = random;
		this.table = table(1, quotas);
		for (int i = 0; i < count; i++) {
			this.relays.add(null);
		}
		for (int i = 0; i < count; i++) {
			start(i);
		}
	}

	private static RouteTable table(long version, Map<String, Quota> quotas) {
		Map<KeyDigest, Team> teams = new HashMap<>();
		quotas.forEach((name, quota) -> teams.put(KeyDigest.of(name),
				new Team(name, OptionalInt.empty(), Optional.of(quota))));
		RouteTable plain = RelayFixture.table();
		return new RouteTable(version, plain.routes(), plain.services(), plain.limits(), Optional.of(new Teams(teams)));
	}

	static QuotaSite of(int count, Map<String, Quota> quotas, Random random) {
		QuotaSite site = new QuotaSite(count, quotas, random);
		// Relays start before the first request.
		site.run(Duration.ofSeconds(19));
		return site;
	}

	long messages() {
		return this.messages;
	}

	long requests() {
		return this.requests;
	}

	/**
	 * Returns the number of requests that were not decided immediately.
	 * @return the number
	 */
	long delayed() {
		return this.delayed;
	}

	List<Long> completed(String team) {
		return this.completed.getOrDefault(team, List.of());
	}

	List<Long> rejected(String team) {
		return this.rejected.getOrDefault(team, List.of());
	}

	/**
	 * Returns the number of programs that completed all of their requests.
	 * @param requests the requests of a program
	 * @return the number of programs
	 */
	long completedPrograms(int requests) {
		return this.completedByProgram.values().stream().filter((completed) -> completed == requests).count();
	}

	/**
	 * Returns the maximum number of requests of a team in one window.
	 * @param team the team
	 * @return the maximum
	 */
	int maxInWindow(String team) {
		List<Long> times = completed(team);
		int max = 0;
		int from = 0;
		for (int to = 0; to < times.size(); to++) {
			while (times.get(to) - times.get(from) > TOLERANCE.window().toMillis()) {
				from++;
			}
			max = Math.max(max, to - from + 1);
		}
		return max;
	}

	/**
	 * Returns the maximum number of requests of a team that were both sent and run in one
	 * window.
	 * @param team the team
	 * @return the maximum
	 */
	int maxSentAndRunInWindow(String team) {
		List<Run> sorted = this.runs.getOrDefault(team, List.of())
			.stream()
			.sorted(Comparator.comparingLong(Run::sentAt))
			.toList();
		int max = 0;
		for (int from = 0; from < sorted.size(); from++) {
			long until = sorted.get(from).sentAt() + TOLERANCE.window().toMillis();
			int count = 0;
			for (int to = from; to < sorted.size() && sorted.get(to).sentAt() <= until; to++) {
				count += (sorted.get(to).runAt() <= until) ? 1 : 0;
			}
			max = Math.max(max, count);
		}
		return max;
	}

	/**
	 * Returns the first coordinator of a team.
	 * @param team the team
	 * @return the index of the relay
	 */
	int coordinator(String team) {
		ProgramReplicas replicas = new ProgramReplicas();
		replicas.update(members());
		return Integer.parseInt(replicas.replicasOf(team).getFirst());
	}

	void request(String team, String program, Duration after) {
		scheduleAfter(after, () -> {
			this.exchanges++;
			sendRequest(this.random.nextInt(this.relays.size()), team, program, this.exchanges);
		});
	}

	/**
	 * Runs a program with sequential requests. A rejected request is retried once after
	 * its retry delay. After a second rejection the program sends no further requests.
	 * @param team the team
	 * @param program the program
	 * @param requests the number of its requests
	 * @param pause the pause between requests
	 * @param after the time until its start
	 */
	void program(String team, String program, int requests, Duration pause, Duration after) {
		scheduleAfter(after, () -> sendNext(new Program(team, program, requests, pause, 0)));
	}

	private void sendNext(Program program) {
		if (program.remaining() > 0) {
			this.exchanges++;
			this.programs.put(this.exchanges, program);
			sendRequest(this.random.nextInt(this.relays.size()), program.team(), program.name(), this.exchanges);
		}
	}

	private void exchangeEnded(long exchange, Optional<Duration> retryAfter) {
		Program program = this.programs.remove(exchange);
		if (program == null) {
			return;
		}
		if (retryAfter.isEmpty()) {
			scheduleAfter(program.pause(), () -> sendNext(program.afterRun()));
		}
		else if (program.refusals() == 0) {
			scheduleAfter(retryAfter.get(), () -> sendNext(program.afterRefusal()));
		}
	}

	/**
	 * Kills a relay and restarts it.
	 * @param relay the relay
	 * @param after the time until the failure
	 * @param duration the time until the restart
	 */
	void kill(int relay, Duration after, Duration duration) {
		scheduleAfter(after, () -> this.relays.get(relay).running = false);
		scheduleAfter(after.plus(duration), () -> start(relay));
	}

	/**
	 * Kills a relay and restarts it. Other relays lose their connections to it at once.
	 * @param relay the relay
	 * @param after the time until the failure
	 * @param duration the time until the restart
	 */
	void crash(int relay, Duration after, Duration duration) {
		kill(relay, after, duration);
		updateAll(after, 5, () -> new RelayEvent.PeerDisconnected(this.now, Integer.toString(relay)));
	}

	/**
	 * Pauses a relay. Messages that arrive during the pause are handled at its end.
	 * @param relay the relay
	 * @param after the time until the pause
	 * @param duration the length of the pause
	 */
	void pause(int relay, Duration after, Duration duration) {
		scheduleAfter(after, () -> this.relays.get(relay).pausedUntil = this.now + duration.toMillis());
		scheduleAfter(after.plus(duration), () -> {
			RelayInstance instance = this.relays.get(relay);
			applyEffects(instance, instance.relay.handle(new RelayEvent.ProcessResumed(this.now, duration)));
		});
	}

	/**
	 * Delays and loses messages from and to a relay.
	 * @param relay the relay
	 * @param after the time until the first disturbed message
	 * @param duration the time for which messages are disturbed
	 * @param maxDelay the maximum additional delay
	 * @param loss the fraction of lost messages
	 */
	void disturb(int relay, Duration after, Duration duration, Duration maxDelay, double loss) {
		scheduleAfter(after, () -> {
			Disturbance disturbance = new Disturbance(Integer.toString(relay), (int) maxDelay.toMillis(), loss);
			this.disturbances.add(disturbance);
			scheduleAfter(duration, () -> this.disturbances.remove(disturbance));
		});
	}

	/**
	 * Removes a relay from the membership that all relays know.
	 * @param relay the relay
	 * @param after the time until its removal
	 * @param duration the time until it is a member again
	 */
	void exclude(int relay, Duration after, Duration duration) {
		scheduleAfter(after, () -> this.excluded.add(relay));
		scheduleAfter(duration.plus(after), () -> this.excluded.remove(relay));
		for (Duration change : List.of(after, after.plus(duration))) {
			updateAll(change, 20, () -> new RelayEvent.MembershipUpdated(this.now, members()));
		}
	}

	/**
	 * Changes the quotas at all relays.
	 * @param quotas the quotas of all teams
	 * @param after the time until the change
	 */
	void change(Map<String, Quota> quotas, Duration after) {
		scheduleAfter(after, () -> this.table = table(this.table.version() + 1, quotas));
		updateAll(after, 500, () -> new RelayEvent.RouteTableUpdated(this.now, this.table));
	}

	/**
	 * Stops or starts all upstreams, without which requests are rejected after they were
	 * admitted.
	 * @param available whether there are upstreams
	 * @param after the time until the change
	 */
	void upstreams(boolean available, Duration after) {
		updateAll(after, 1, () -> new RelayEvent.UpstreamsReplaced(this.now,
				available ? List.of(RelayFixture.upstream("s1", RelayFixture.SHOP)) : List.of()));
	}

	private void updateAll(Duration after, int maxDelay, Supplier<RelayEvent> event) {
		for (int i = 0; i < this.relays.size(); i++) {
			int relay = i;
			scheduleAfter(after.plusMillis(this.random.nextInt(maxDelay)), () -> {
				RelayInstance instance = this.relays.get(relay);
				runWhenResumed(instance, () -> instance.handle(event.get()));
			});
		}
	}

	private List<Member> members() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < this.relays.size(); i++) {
			if (!this.excluded.contains(i)) {
				members.add(new Member(Integer.toString(i), "zone-" + i % 4, 100));
			}
		}
		return members;
	}

	void run(Duration time) {
		long until = this.now + time.toMillis();
		while (!this.schedule.isEmpty() && this.schedule.peek().at() <= until) {
			Step next = this.schedule.poll();
			this.now = next.at();
			next.action().run();
		}
		this.now = until;
	}

	private void start(int index) {
		RelayInstance instance = new RelayInstance(index, new Relay(new RelaySettings("zone-a", 100, index, 1_000_000,
				1000, 1_000_000, 1000, 0, true, TOLERANCE, Duration.ZERO, true)));
		this.relays.set(index, instance);
		instance.handle(new RelayEvent.ListenerStarted(this.now, Integer.toString(index)));
		instance.handle(new RelayEvent.RouteTableUpdated(this.now, this.table));
		instance.handle(
				new RelayEvent.UpstreamsReplaced(this.now, List.of(RelayFixture.upstream("s1", RelayFixture.SHOP))));
		instance.handle(new RelayEvent.MembershipUpdated(this.now, members()));
	}

	private void sendRequest(int index, String team, String program, long exchange) {
		RelayInstance instance = this.relays.get(index);
		if (!instance.running) {
			return;
		}
		this.requests++;
		this.sentAt.put(exchange, this.now);
		RequestHead head = new RequestHead("r" + exchange, "host", "/order/x", Optional.of(Duration.ofSeconds(3)),
				Optional.empty(), List.of(), 0, Optional.empty(), Optional.empty(),
				new RequestHead.Origin(Optional.of(program), Optional.of(KeyDigest.of(team))));
		runWhenResumed(instance, () -> {
			instance.teams.put(exchange, List.of(team, program));
			applyEffects(instance, instance.relay
				.handle(new RelayEvent.RequestReceived(this.now, this.now, exchange, head, new byte[0], exchange)));
			this.delayed += instance.teams.containsKey(exchange) ? 1 : 0;
		});
	}

	private void applyEffects(RelayInstance from, List<RelayEffect> effects) {
		for (RelayEffect effect : effects) {
			switch (effect) {
				case RelayEffect.RequestPermits request ->
					send(from, request.peer(), (to) -> new RelayEvent.PermitsRequested(this.now,
							Integer.toString(from.index), request.request()));
				case RelayEffect.GrantPermits grant -> send(from, grant.peer(),
						(to) -> new RelayEvent.PermitsGranted(this.now, Integer.toString(from.index), grant.reply()));
				case RelayEffect.StartTimer timer ->
					scheduleAfter(timer.delay(), () -> runWhenResumed(from, () -> applyEffects(from,
							from.relay.handle(new RelayEvent.TimerFired(this.now, timer.exchange(), timer.timer())))));
				case RelayEffect.SendRequest send -> {
					recordTime(this.completed, from, send.exchange());
					exchangeEnded(send.exchange(), Optional.empty());
				}
				case RelayEffect.Refuse refuse -> {
					recordTime(this.rejected, from, refuse.exchange());
					exchangeEnded(refuse.exchange(), Optional.of(refuse.retryAfter().orElse(Duration.ZERO)));
				}
				default -> {
				}
			}
		}
	}

	private void recordTime(Map<String, List<Long>> times, RelayInstance instance, long exchange) {
		List<String> origin = instance.teams.remove(exchange);
		if (origin != null) {
			times.computeIfAbsent(origin.getFirst(), (key) -> new ArrayList<>()).add(this.now);
			if (times == this.completed) {
				this.runs.computeIfAbsent(origin.getFirst(), (key) -> new ArrayList<>())
					.add(new Run(this.sentAt.get(exchange), this.now));
				this.completedByProgram.merge(origin.getLast(), 1, Integer::sum);
			}
		}
	}

	private void send(RelayInstance from, String to, Message message) {
		this.messages++;
		long arrives = this.now + MIN_LATENCY_MS + this.random.nextInt(LATENCY_JITTER_MS);
		for (Disturbance next : this.disturbances) {
			if (next.relay().equals(to) || next.relay().equals(Integer.toString(from.index))) {
				if (this.random.nextDouble() < next.loss()) {
					return;
				}
				arrives += this.random.nextInt(next.maxDelay() + 1);
			}
		}
		schedule(arrives, () -> {
			RelayInstance instance = this.relays.get(Integer.parseInt(to));
			runWhenResumed(instance, () -> applyEffects(instance, instance.relay.handle(message.to(instance))));
		});
	}

	private void runWhenResumed(RelayInstance instance, Runnable action) {
		if (instance.pausedUntil > this.now) {
			schedule(instance.pausedUntil + 1, () -> runWhenResumed(instance, action));
			return;
		}
		if (instance.running && this.relays.get(instance.index) == instance) {
			action.run();
		}
	}

	private void scheduleAfter(Duration after, Runnable action) {
		schedule(this.now + after.toMillis(), action);
	}

	private void schedule(long at, Runnable action) {
		this.sequence++;
		this.schedule.add(new Step(at, this.sequence, action));
	}

	/**
	 * Incarnation of a relay. Not thread-safe.
	 */
	private final class RelayInstance {

		private final int index;

		private final Relay relay;

		private final Map<Long, List<String>> teams = new HashMap<>();

		private boolean running = true;

		private long pausedUntil;

		RelayInstance(int index, Relay relay) {
			this.index = index;
			this.relay = relay;
		}

		void handle(RelayEvent event) {
			applyEffects(this, this.relay.handle(event));
		}

	}

	/**
	 * Immutable progress of a program.
	 *
	 * @param team the team
	 * @param name the program
	 * @param remaining the number of remaining requests
	 * @param pause the pause between requests
	 * @param refusals the number of rejections of the next request
	 */
	private record Program(String team, String name, int remaining, Duration pause, int refusals) {

		Program afterRun() {
			return new Program(this.team, this.name, this.remaining - 1, this.pause, 0);
		}

		Program afterRefusal() {
			return new Program(this.team, this.name, this.remaining, this.pause, this.refusals + 1);
		}

	}

	/**
	 * Immutable times of a request.
	 *
	 * @param sentAt the time at which the caller sent it
	 * @param runAt the time at which it was sent to an upstream
	 */
	private record Run(long sentAt, long runAt) {

	}

	/**
	 * Immutable disturbance of the messages of a relay.
	 *
	 * @param relay the relay
	 * @param maxDelay the maximum additional delay in milliseconds
	 * @param loss the fraction of lost messages
	 */
	private record Disturbance(String relay, int maxDelay, double loss) {

	}

	/**
	 * Immutable scheduled step.
	 *
	 * @param at the time in milliseconds
	 * @param sequence the order among steps at the same time
	 * @param action the action
	 */
	private record Step(long at, long sequence, Runnable action) implements Comparable<Step> {

		@Override
		public int compareTo(Step other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at)
					: Long.compare(this.sequence, other.sequence);
		}

	}

	/**
	 * Creates the event for a message when it arrives. Not thread-safe.
	 */
	@FunctionalInterface
	private interface Message {

		RelayEvent to(RelayInstance relay);

	}

}
