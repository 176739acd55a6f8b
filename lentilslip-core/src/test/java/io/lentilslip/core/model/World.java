package io.lentilslip.core.model;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.EntryReducer;
import io.lentilslip.core.entry.EntryState;
import io.lentilslip.core.entry.EntryStateInspector;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.core.sidecar.SidecarEffect;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.core.sidecar.SidecarLeftovers;
import io.lentilslip.core.sidecar.SidecarReducer;
import io.lentilslip.core.sidecar.SidecarState;

/**
 * Entries, sidecars, their upstreams, the log and the links between them. Everything that
 * is under way stands in a channel; a sequence of actions decides which channel moves
 * next.
 */
final class World {

	static final int ENTRIES = 2;

	private static final int MOST_MOVES = 20_000;

	final Requests requests = new Requests();

	final FakeLog log = new FakeLog(this.requests);

	final Callers callers = new Callers(this);

	final List<EntryNode> entries = new ArrayList<>();

	final List<SidecarNode> sidecars = new ArrayList<>();

	private final Link[][] links = new Link[ENTRIES][Site.SIDECARS.size()];

	Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private long lives;

	World() {
		for (int index = 0; index < ENTRIES; index++) {
			this.entries.add(new EntryNode(index));
		}
		for (int index = 0; index < Site.SIDECARS.size(); index++) {
			this.sidecars.add(new SidecarNode(index));
		}
		for (Link[] row : this.links) {
			for (int index = 0; index < row.length; index++) {
				row[index] = new Link();
			}
		}
		this.entries.forEach(Node::start);
		this.sidecars.forEach(Node::start);
		reconnect();
		settle();
		pass(10);
		settle();
	}

	void perform(Action action) {
		switch (action.kind()) {
			case DELIVER -> move(action.first(), 1 + action.second() % 4);
			case SETTLE -> settle();
			case PASS -> pass(new int[] { 10, 60, 300, 1100, 3200, 6000 }[action.second() % 6]);
			case CALL -> this.callers.call(action.first(), action.second());
			case RESEND -> this.callers.resend(action.first(), action.second());
			case DISCONNECT -> this.callers.disconnect(action.first());
			case END -> this.callers.end(action.first(), action.second() % ENTRIES);
			case CUT -> cut(link(action.first()), action.second());
			case LOSE_ONE_WAY -> loseOneWay(link(action.first()), action.second());
			case MEND_LINKS -> mendLinks();
			case PAUSE -> node(action.first()).paused = true;
			case RESUME -> node(action.first()).paused = false;
			case CRASH -> crash(node(action.first()), action.second());
			case STOP -> node(action.first()).node(new NodeEvent.StopRequested(this.now));
			case LOG_DOWN -> this.log.up = false;
			case LOG_UP -> this.log.up = true;
			case APPEND_FAULT -> this.log.plan(FakeLog.Fault.values()[action.second() % FakeLog.Fault.values().length]);
			case ENGINE_FAULT -> this.sidecars.get(action.first() % this.sidecars.size()).fault(action.second() % 4);
		}
	}

	private Link link(int choice) {
		return this.links[choice % ENTRIES][choice / ENTRIES % this.sidecars.size()];
	}

	private Node<?> node(int choice) {
		int index = choice % (ENTRIES + this.sidecars.size());
		return (index < ENTRIES) ? this.entries.get(index) : this.sidecars.get(index - ENTRIES);
	}

	private void cut(Link link, int choice) {
		link.cut(choice % 2 == 0);
		link.blocked = choice % 3 == 0;
	}

	private void loseOneWay(Link link, int choice) {
		if (link.isOpen()) {
			link.deafEntry = choice % 2 == 0;
			link.deafSidecar = !link.deafEntry;
		}
	}

	private void mendLinks() {
		for (Link[] row : this.links) {
			for (Link link : row) {
				link.blocked = false;
				if (link.deafEntry || link.deafSidecar) {
					link.cut(true);
				}
			}
		}
		reconnect();
	}

	private void reconnect() {
		for (int entry = 0; entry < ENTRIES; entry++) {
			for (int sidecar = 0; sidecar < this.sidecars.size(); sidecar++) {
				Link link = this.links[entry][sidecar];
				if (link.wanted && !link.isOpen() && !link.blocked && !this.entries.get(entry).paused
						&& !this.sidecars.get(sidecar).paused) {
					link.open(this.entries.get(entry).self, this.sidecars.get(sidecar).self);
				}
			}
		}
	}

	// A life of a process ends and the next one begins. What it appended may yet take
	// effect, and what it sent to a service is with the service.
	private void crash(Node<?> node, int choice) {
		node.cutLinks(choice % 2 == 0);
		if (node instanceof EntryNode) {
			this.callers.entryLost(node.index);
		}
		else {
			this.sidecars.get(node.index).upstream.forgetRuns();
		}
		node.start();
	}

	void pass(int milliseconds) {
		this.now = this.now.plus(Duration.ofMillis(milliseconds));
		this.sidecars.forEach((sidecar) -> sidecar.upstream.expire(this.now));
		this.entries.forEach(Node::tick);
		this.sidecars.forEach(Node::tick);
		reconnect();
	}

	private List<Runnable> channels(int choice) {
		List<Runnable> ready = new ArrayList<>();
		for (int entry = 0; entry < ENTRIES; entry++) {
			for (int sidecar = 0; sidecar < this.sidecars.size(); sidecar++) {
				addLink(ready, this.links[entry][sidecar], this.entries.get(entry), this.sidecars.get(sidecar));
			}
		}
		this.entries.forEach((node) -> node.addChannels(ready));
		this.sidecars.forEach((node) -> node.addChannels(ready));
		for (SidecarNode sidecar : this.sidecars) {
			if (!sidecar.paused && sidecar.upstream.hasWork()) {
				ready.add(() -> sidecar.upstream.step(choice, this.now).ifPresent(sidecar::apply));
			}
		}
		if (!this.log.asked.isEmpty()) {
			ready.add(() -> this.log.answerNext(this.now));
		}
		if (this.log.up && !this.log.late.isEmpty()) {
			ready.add(() -> this.log.storeLate(this.now));
		}
		return ready;
	}

	private void addLink(List<Runnable> ready, Link link, EntryNode entry, SidecarNode sidecar) {
		if (!link.toEntry.isEmpty() && !entry.paused) {
			ready.add(() -> Optional.ofNullable(link.toEntry.poll())
				.ifPresent((item) -> entry.apply(item.event().apply(this.now))));
		}
		if (!link.toSidecar.isEmpty() && !sidecar.paused) {
			ready.add(() -> Optional.ofNullable(link.toSidecar.poll())
				.ifPresent((item) -> sidecar.apply(item.event().apply(this.now))));
		}
	}

	private void move(int choice, int times) {
		for (int time = 0; time < times; time++) {
			List<Runnable> ready = channels(choice);
			if (ready.isEmpty()) {
				return;
			}
			ready.get(choice % ready.size()).run();
		}
	}

	void settle() {
		for (int moves = 0; moves < MOST_MOVES; moves++) {
			List<Runnable> ready = channels(0);
			if (ready.isEmpty()) {
				return;
			}
			ready.forEach(Runnable::run);
		}
		throw new AssertionError("does not settle");
	}

	/**
	 * Mends everything and lets time pass until all callers have their answers and all
	 * programs have ended.
	 */
	void comeToRest() {
		this.log.up = true;
		this.log.forgetFaults();
		this.entries.forEach((node) -> node.paused = false);
		this.sidecars.forEach((node) -> {
			node.paused = false;
			node.fault(2);
		});
		mendLinks();
		quiet(30);
		this.callers.checkAllEnded();
		for (int round = 0; round < 8 && this.callers.endAll(); round++) {
			quiet(5);
		}
		quiet(30);
	}

	private void quiet(int rounds) {
		for (int round = 0; round < rounds; round++) {
			settle();
			pass((round % 3 == 0) ? 100 : 1000);
		}
		settle();
	}

	void checkAtRest() {
		this.callers.checkAtRest();
		for (EntryNode entry : this.entries) {
			check(EntryStateInspector.nonEmptyCollections(entry.state).isEmpty(),
					entry.self + " holds " + EntryStateInspector.nonEmptyCollections(entry.state));
			checkLedger(entry.self, EntryStateInspector.ledgerOf(entry.state));
		}
		for (SidecarNode sidecar : this.sidecars) {
			check(SidecarLeftovers.in(sidecar.state).isEmpty(),
					sidecar.self + " holds " + SidecarLeftovers.in(sidecar.state));
			checkLedger(sidecar.self, SidecarLeftovers.ledgerOf(sidecar.state));
			sidecar.upstream.sessions
				.forEach((program, session) -> check(!session.owner().equals(sidecar.self.incarnation()),
						"engine memory held for " + program));
			sidecar.upstream.expire(this.now.plus(Duration.ofMinutes(3)));
			check(sidecar.upstream.sessions.isEmpty(), "engine memory outlives its lease");
		}
	}

	private void checkLedger(ProcessId process, Ledger ledger) {
		this.callers.programs()
			.forEach((program) -> check(ledger.program(program).equals(this.log.ledger.program(program)),
					process + " differs on " + program));
		check(ledger.claimCount() == this.log.ledger.claimCount(), process + " differs in claims");
		check(ledger.programCount() == this.log.ledger.programCount(), process + " differs in programs");
		check(ledger.crashRecordCount() == this.log.ledger.crashRecordCount(), process + " differs in blames");
	}

	static void check(boolean holds, String message) {
		if (!holds) {
			throw new AssertionError(message);
		}
	}

	private Incarnation nextLife() {
		return new Incarnation(++this.lives);
	}

	/**
	 * A process: its life, its state, and what waits to reach it.
	 *
	 * @param <E> the type of its events
	 */
	abstract class Node<E> {

		final int index;

		final VmName vm;

		final Deque<E> inbox = new ArrayDeque<>();

		ProcessId self;

		boolean paused;

		long next;

		boolean caughtUp;

		Node(int index, VmName vm) {
			this.index = index;
			this.vm = vm;
		}

		void start() {
			this.self = new ProcessId(this.vm, nextLife());
			this.inbox.clear();
			this.next = 0;
			this.caughtUp = false;
			begin();
			node(new NodeEvent.ConfigurationAccepted(1, Site.CONFIGURATION, World.this.now));
		}

		abstract void begin();

		abstract void apply(E event);

		abstract E ofLog(LogEvent event);

		abstract E ofNode(NodeEvent event);

		abstract void cutLinks(boolean losing);

		void node(NodeEvent event) {
			this.inbox.add(ofNode(event));
		}

		void tick() {
			if (this.paused) {
				return;
			}
			if (!World.this.log.up) {
				apply(ofLog(new LogEvent.Unreachable(World.this.now)));
				this.caughtUp = false;
			}
			else if (this.next == World.this.log.records.size()) {
				apply(ofLog(new LogEvent.CaughtUp(this.next, World.this.now)));
			}
			apply(ofNode(new NodeEvent.Ticked(World.this.now, this.next * 31 + World.this.now.toEpochMilli())));
		}

		void addChannels(List<Runnable> ready) {
			if (this.paused) {
				return;
			}
			if (!this.inbox.isEmpty()) {
				ready.add(() -> Optional.ofNullable(this.inbox.poll()).ifPresent(this::apply));
			}
			if (!World.this.log.up) {
				return;
			}
			if (this.next < World.this.log.records.size()) {
				ready.add(this::read);
			}
			else if (!this.caughtUp) {
				ready.add(() -> {
					this.caughtUp = true;
					apply(ofLog(new LogEvent.CaughtUp(this.next, World.this.now)));
				});
			}
		}

		private void read() {
			if (this.next >= World.this.log.records.size()) {
				return;
			}
			FakeLog.Stored stored = World.this.log.records.get((int) this.next);
			apply(ofLog(new LogEvent.BatchRead(this.next++, stored.time(), List.of(stored.record()), World.this.now)));
		}

		void run(NodeEffect effect) {
			switch (effect) {
				case NodeEffect.AppendRecord append -> {
					ProcessId life = this.self;
					World.this.log.ask(append.record(), (result) -> {
						if (this.self.equals(life)) {
							this.inbox.add(ofLog(new LogEvent.AppendEnded(append.append(), result, World.this.now)));
						}
					});
				}
				case NodeEffect.Stopped stopped -> stopped();
				case NodeEffect.WriteNotice report -> {
				}
				case NodeEffect.RecordMeasurement measure -> {
				}
			}
		}

		void stopped() {
			cutLinks(false);
			start();
		}

	}

	/**
	 * An entry.
	 */
	final class EntryNode extends Node<EntryEvent> {

		private final EntryReducer reducer = new EntryReducer();

		EntryState state;

		EntryNode(int index) {
			super(index, new VmName("entry-" + index));
		}

		@Override
		void begin() {
			this.state = EntryState.of(this.self, Site.ZONE);
		}

		@Override
		EntryEvent ofLog(LogEvent event) {
			return new EntryEvent.LogEventReceived(event);
		}

		@Override
		EntryEvent ofNode(NodeEvent event) {
			return new EntryEvent.NodeEventReceived(event);
		}

		@Override
		void cutLinks(boolean losing) {
			for (Link link : World.this.links[this.index]) {
				link.cut(losing);
				link.wanted = false;
				link.toEntry.clear();
			}
		}

		@Override
		void stopped() {
			World.this.callers.checkDrained(this.index);
			super.stopped();
		}

		@Override
		void apply(EntryEvent event) {
			Step<EntryState, EntryEffect> step = this.reducer.apply(this.state, event);
			this.state = step.state();
			step.effects().forEach(this::run);
			if (event instanceof EntryEvent.CallerDisconnected gone) {
				World.this.callers.gone(gone.ticket());
			}
		}

		private void run(EntryEffect effect) {
			switch (effect) {
				case EntryEffect.ForNode node -> run(node.effect());
				case EntryEffect.Connect connect -> linkTo(connect.vm()).wanted = true;
				case EntryEffect.Disconnect disconnect -> throw new AssertionError("disconnects " + disconnect.vm());
				case EntryEffect.Send send -> {
					if (!linkTo(send.sidecar().vm()).sendToSidecar(send.sidecar(), send.messageAt(World.this.now))) {
						this.inbox.add(new EntryEvent.SendRefused(send.sidecar(), send.message(), World.this.now));
					}
				}
				case EntryEffect.Deliver deliver -> World.this.callers.delivered(deliver.ticket(), deliver.text());
				case EntryEffect.Complete complete ->
					World.this.callers.completed(complete.ticket(), complete.outcome());
				case EntryEffect.SendProgramState show -> World.this.callers.shown(show.ticket());
			}
		}

		private Link linkTo(VmName vm) {
			return World.this.links[this.index][Site.SIDECARS.indexOf(vm)];
		}

	}

	/**
	 * A sidecar with its upstream, which outlives it.
	 */
	final class SidecarNode extends Node<SidecarEvent> {

		private final SidecarReducer reducer = new SidecarReducer();

		final FakeUpstream upstream = new FakeUpstream(World.this.requests);

		SidecarState state;

		SidecarNode(int index) {
			super(index, Site.SIDECARS.get(index));
		}

		@Override
		void begin() {
			this.state = SidecarState.of(this.self, Site.ZONE);
			this.inbox.add(report());
		}

		private SidecarEvent report() {
			return (this.upstream.up) ? new SidecarEvent.UpstreamLoadReceived(this.upstream.instance,
					this.upstream.size(), 0, 0, World.this.now) : new SidecarEvent.UpstreamUnreachable(World.this.now);
		}

		void fault(int choice) {
			switch (choice) {
				case 0 -> this.inbox.addAll(this.upstream.crash(World.this.now));
				case 1 -> this.upstream.up = false;
				default -> this.upstream.up = true;
			}
		}

		@Override
		SidecarEvent ofLog(LogEvent event) {
			return new SidecarEvent.LogEventReceived(event);
		}

		@Override
		SidecarEvent ofNode(NodeEvent event) {
			return new SidecarEvent.NodeEventReceived(event);
		}

		@Override
		void tick() {
			if (!this.paused) {
				apply(report());
			}
			super.tick();
		}

		@Override
		void cutLinks(boolean losing) {
			for (Link[] row : World.this.links) {
				row[this.index].cut(losing);
				row[this.index].toSidecar.clear();
			}
		}

		@Override
		void apply(SidecarEvent event) {
			Step<SidecarState, SidecarEffect> step = this.reducer.apply(this.state, event);
			this.state = step.state();
			step.effects().forEach(this::run);
		}

		private void run(SidecarEffect effect) {
			switch (effect) {
				case SidecarEffect.ForNode node -> run(node.effect());
				case SidecarEffect.Send send -> {
					for (Link[] row : World.this.links) {
						row[this.index].sendToEntry(send.entry(), send.message());
					}
				}
				case SidecarEffect.Generate generate ->
					this.upstream.generate(generate, this.self.incarnation(), World.this.now);
				case SidecarEffect.CallService serve -> this.upstream.serve(serve);
				case SidecarEffect.CancelRun cancel ->
					this.upstream.cancel(cancel.run(), World.this.now).ifPresent(this.inbox::add);
				case SidecarEffect.ReadHistory read -> this.inbox.add(historyOf(read));
				case SidecarEffect.ReleaseSession release -> this.inbox.add(released(release));
			}
		}

		private SidecarEvent historyOf(SidecarEffect.ReadHistory read) {
			if (!World.this.log.up) {
				return new SidecarEvent.HistoryReadFailed(read.program(), read.epoch(), false, World.this.now);
			}
			return new SidecarEvent.HistoryRead(read.program(), read.epoch(),
					World.this.log.history(read.lastTurnPosition()), World.this.now);
		}

		private SidecarEvent released(SidecarEffect.ReleaseSession release) {
			if (!this.upstream.up) {
				return new SidecarEvent.SessionReleaseFailed(release.program(), World.this.now);
			}
			this.upstream.sessions.remove(release.program());
			return new SidecarEvent.SessionReleased(release.program(), World.this.now);
		}

	}

}
