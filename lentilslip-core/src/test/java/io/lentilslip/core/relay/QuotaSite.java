package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

import io.lentilslip.core.quota.Quota;
import io.lentilslip.core.quota.QuotaTolerance;

/**
 * Relays that count quotas together, in virtual time: messages take a while, relays are
 * killed, freeze and start again. Requests run as soon as they are sent. Used by one
 * thread.
 */
final class QuotaSite {

	static final QuotaTolerance TOLERANCE = QuotaTolerance.standard();

	private static final long NEAR_MS = 1;

	private static final int FAR_MS = 6;

	private static final long START_MS = 1000;

	private final PriorityQueue<Step> steps = new PriorityQueue<>();

	private final List<Life> lives = new ArrayList<>();

	private final Map<String, List<Long>> ran = new HashMap<>();

	private final Map<String, List<Long>> refused = new HashMap<>();

	private final Map<String, Integer> ranOfProgram = new HashMap<>();

	private final Map<Long, Program> programs = new HashMap<>();

	private final RouteTable table;

	private final Random random;

	private long now = START_MS;

	private long order;

	private long exchanges;

	private long messages;

	private long waited;

	private long asked;

	private QuotaSite(int count, Map<String, Quota> quotas, Random random) {
		this.random = random;
		Map<KeyDigest, Team> teams = new HashMap<>();
		quotas.forEach((name, quota) -> teams.put(KeyDigest.of(name),
				new Team(name, OptionalInt.empty(), Optional.of(quota))));
		RouteTable plain = RelayFixture.table();
		this.table = new RouteTable(1, plain.routes(), plain.services(), plain.limits(), Optional.of(new Teams(teams)));
		for (int i = 0; i < count; i++) {
			this.lives.add(null);
		}
		for (int i = 0; i < count; i++) {
			start(i);
		}
	}

	static QuotaSite of(int count, Map<String, Quota> quotas, Random random) {
		QuotaSite site = new QuotaSite(count, quotas, random);
		// Relays start well before their callers.
		site.run(Duration.ofSeconds(19));
		return site;
	}

	long messages() {
		return this.messages;
	}

	long asked() {
		return this.asked;
	}

	/**
	 * Returns how many requests could not be decided at once.
	 * @return the number
	 */
	long waited() {
		return this.waited;
	}

	List<Long> ran(String team) {
		return this.ran.getOrDefault(team, List.of());
	}

	List<Long> refused(String team) {
		return this.refused.getOrDefault(team, List.of());
	}

	/**
	 * Returns how many programs ran all of their requests.
	 * @param requests the requests of a program
	 * @return the programs
	 */
	long whole(int requests) {
		return this.ranOfProgram.values().stream().filter((ran) -> ran == requests).count();
	}

	/**
	 * Returns the most requests of a team that ran in one window.
	 * @param team the team
	 * @return the requests
	 */
	int mostInWindow(String team) {
		List<Long> times = ran(team);
		int most = 0;
		int from = 0;
		for (int to = 0; to < times.size(); to++) {
			while (times.get(to) - times.get(from) > TOLERANCE.window().toMillis()) {
				from++;
			}
			most = Math.max(most, to - from + 1);
		}
		return most;
	}

	void request(String team, String program, Duration after) {
		at(after, () -> {
			this.exchanges++;
			ask(this.random.nextInt(this.lives.size()), team, program, this.exchanges);
		});
	}

	/**
	 * Runs a program, whose requests follow each other. One that is refused comes back
	 * when it is asked to, and ends the program when it is refused once more.
	 * @param team the team
	 * @param program the program
	 * @param requests how many requests it has
	 * @param pause the time between two of them
	 * @param after when it begins
	 */
	void program(String team, String program, int requests, Duration pause, Duration after) {
		at(after, () -> next(new Program(team, program, requests, pause, 0)));
	}

	private void next(Program program) {
		if (program.left() > 0) {
			this.exchanges++;
			this.programs.put(this.exchanges, program);
			ask(this.random.nextInt(this.lives.size()), program.team(), program.name(), this.exchanges);
		}
	}

	private void ended(long exchange, Optional<Duration> retryAfter) {
		Program program = this.programs.remove(exchange);
		if (program == null) {
			return;
		}
		if (retryAfter.isEmpty()) {
			at(program.pause(), () -> next(program.ran()));
		}
		else if (program.refused() == 0) {
			at(retryAfter.get(), () -> next(program.again()));
		}
	}

	/**
	 * Kills a relay, and starts it again after a while.
	 * @param relay the relay
	 * @param after when
	 * @param down for how long
	 */
	void kill(int relay, Duration after, Duration down) {
		at(after, () -> this.lives.get(relay).up = false);
		at(after.plus(down), () -> start(relay));
	}

	/**
	 * Freezes a relay: what comes meanwhile is taken when it wakes.
	 * @param relay the relay
	 * @param after when
	 * @param frozen for how long
	 */
	void freeze(int relay, Duration after, Duration frozen) {
		at(after, () -> this.lives.get(relay).frozenUntil = this.now + frozen.toMillis());
		at(after.plus(frozen), () -> {
			Life life = this.lives.get(relay);
			take(life, life.relay.handle(new RelayEvent.ProcessResumed(this.now, frozen)));
		});
	}

	void run(Duration time) {
		long until = this.now + time.toMillis();
		while (!this.steps.isEmpty() && this.steps.peek().at() <= until) {
			Step next = this.steps.poll();
			this.now = next.at();
			next.action().run();
		}
		this.now = until;
	}

	private void start(int index) {
		Life life = new Life(index,
				new Relay(new RelaySettings("zone-a", 100, index, 1_000_000, 1000, 1000, 0, true, TOLERANCE)));
		this.lives.set(index, life);
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < this.lives.size(); i++) {
			members.add(new Member(Integer.toString(i), "zone-" + i % 4, 100));
		}
		life.on(new RelayEvent.ListenerStarted(this.now, Integer.toString(index)));
		life.on(new RelayEvent.RouteTableUpdated(this.now, this.table));
		life.on(new RelayEvent.UpstreamsReplaced(this.now, List.of(RelayFixture.upstream("s1", RelayFixture.SHOP))));
		life.on(new RelayEvent.MembershipUpdated(this.now, members));
	}

	private void ask(int index, String team, String program, long exchange) {
		Life life = this.lives.get(index);
		if (!life.up) {
			return;
		}
		this.asked++;
		RequestHead head = new RequestHead("r" + exchange, "host", "/order/x", Optional.of(Duration.ofSeconds(3)),
				Optional.empty(), List.of(), 0, OptionalLong.empty(), Optional.empty(),
				new RequestHead.Origin(Optional.of(program), Optional.of(KeyDigest.of(team))));
		whenRunning(life, () -> {
			life.teams.put(exchange, List.of(team, program));
			take(life,
					life.relay.handle(new RelayEvent.RequestReceived(this.now, exchange, head, new byte[0], exchange)));
			this.waited += life.teams.containsKey(exchange) ? 1 : 0;
		});
	}

	private void take(Life from, List<RelayEffect> effects) {
		for (RelayEffect effect : effects) {
			switch (effect) {
				case RelayEffect.RequestPermits ask -> send(from, ask.peer(),
						(to) -> new RelayEvent.PermitsRequested(this.now, Integer.toString(from.index), ask.request()));
				case RelayEffect.GrantPermits grant -> send(from, grant.peer(),
						(to) -> new RelayEvent.PermitsGranted(this.now, Integer.toString(from.index), grant.reply()));
				case RelayEffect.StartTimer remind -> at(remind.delay(), () -> whenRunning(from, () -> take(from,
						from.relay.handle(new RelayEvent.TimerFired(this.now, remind.exchange(), remind.timer())))));
				case RelayEffect.SendRequest send -> {
					note(this.ran, from, send.exchange());
					ended(send.exchange(), Optional.empty());
				}
				case RelayEffect.Refuse refuse -> {
					note(this.refused, from, refuse.exchange());
					ended(refuse.exchange(), Optional.of(refuse.retryAfter().orElse(Duration.ZERO)));
				}
				default -> {
				}
			}
		}
	}

	private void note(Map<String, List<Long>> times, Life life, long exchange) {
		List<String> origin = life.teams.remove(exchange);
		if (origin != null) {
			times.computeIfAbsent(origin.getFirst(), (key) -> new ArrayList<>()).add(this.now);
			if (times == this.ran) {
				this.ranOfProgram.merge(origin.getLast(), 1, Integer::sum);
			}
		}
	}

	private void send(Life from, String to, Message message) {
		this.messages++;
		long arrives = this.now + NEAR_MS + this.random.nextInt(FAR_MS);
		steps(arrives, () -> {
			Life life = this.lives.get(Integer.parseInt(to));
			whenRunning(life, () -> take(life, life.relay.handle(message.to(life))));
		});
	}

	private void whenRunning(Life life, Runnable action) {
		if (life.frozenUntil > this.now) {
			steps(life.frozenUntil + 1, () -> whenRunning(life, action));
			return;
		}
		if (life.up && this.lives.get(life.index) == life) {
			action.run();
		}
	}

	private void at(Duration after, Runnable action) {
		steps(this.now + after.toMillis(), action);
	}

	private void steps(long at, Runnable action) {
		this.order++;
		this.steps.add(new Step(at, this.order, action));
	}

	/**
	 * One life of a relay. Used by one thread.
	 */
	private final class Life {

		private final int index;

		private final Relay relay;

		private final Map<Long, List<String>> teams = new HashMap<>();

		private boolean up = true;

		private long frozenUntil;

		Life(int index, Relay relay) {
			this.index = index;
			this.relay = relay;
		}

		void on(RelayEvent event) {
			take(this, this.relay.handle(event));
		}

	}

	/**
	 * What a program has left to do. Immutable.
	 *
	 * @param team the team
	 * @param name the program
	 * @param left how many requests are left
	 * @param pause the time between two of them
	 * @param refused how many times the next one was refused
	 */
	private record Program(String team, String name, int left, Duration pause, int refused) {

		Program ran() {
			return new Program(this.team, this.name, this.left - 1, this.pause, 0);
		}

		Program again() {
			return new Program(this.team, this.name, this.left, this.pause, this.refused + 1);
		}

	}

	/**
	 * Something that happens. Immutable.
	 *
	 * @param at when, in milliseconds
	 * @param order its place among those of the same time
	 * @param action what it does
	 */
	private record Step(long at, long order, Runnable action) implements Comparable<Step> {

		@Override
		public int compareTo(Step other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at) : Long.compare(this.order, other.order);
		}

	}

	/**
	 * What a relay takes when a message arrives. Used by one thread.
	 */
	@FunctionalInterface
	private interface Message {

		RelayEvent to(Life relay);

	}

}
