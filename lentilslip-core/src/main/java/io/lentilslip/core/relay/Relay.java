package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RouteRequestEnded.Outcome;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.LedgerEntry.KeptTurn;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.RelayEvent.Reminder;
import io.lentilslip.core.relay.RequestHead.Turn;
import io.lentilslip.core.relay.Upstreams.Known;
import io.lentilslip.core.verdict.Verdict;

/**
 * The reducer of a relay: takes every event, and returns what is to be done about it. All
 * that a relay decides is decided here; it reads no clock and does no I/O. An exchange is
 * known from {@link RelayEvent.Asked} until one of {@link RelayEffect.Answer},
 * {@link RelayEffect.EndStream}, {@link RelayEffect.BreakOff} or
 * {@link RelayEffect.Refuse} was returned for it, exactly one of which ever is, or until
 * its caller has left. Used by one thread.
 */
public final class Relay {

	/**
	 * How many times the time alone passes before help is asked for again, of others.
	 */
	private static final int HELP_PAUSES = 4;

	private final ProgramTokens tokens;

	private final KeptTurns turns;

	private final Blames blames = new Blames();

	private final Upstreams upstreams = new Upstreams();

	private final UnloggedEntries unlogged;

	private final SplittableRandom random;

	private final UpstreamChoice choice;

	private final Map<Long, Exchange> exchanges = new HashMap<>();

	private final Map<String, Long> ending = new LinkedHashMap<>();

	private final Map<String, Long> contending = new LinkedHashMap<>();

	private final Map<String, String> helping = new LinkedHashMap<>();

	private Optional<RouteTable> table = Optional.empty();

	private boolean caughtUp;

	private boolean isolated;

	private boolean ready;

	private long now;

	private long logReadAt;

	private List<RelayEffect> effects = new ArrayList<>();

	/**
	 * Creates a relay that knows nothing yet.
	 * @param settings what it is set to
	 */
	public Relay(RelaySettings settings) {
		this.tokens = new ProgramTokens(settings.programs());
		this.turns = new KeptTurns(settings.turnBytes());
		this.random = new SplittableRandom(settings.seed());
		this.unlogged = new UnloggedEntries(this.random.nextLong(RelaySettings.ADOPTION_SPREAD.toMillis()));
		this.choice = new UpstreamChoice(settings.zone(), this.random);
	}

	/**
	 * Takes an event.
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	public List<RelayEffect> on(RelayEvent event) {
		this.now = event.now();
		switch (event) {
			case RelayEvent.Asked asked -> asked(asked);
			case RelayEvent.OfAttempt attempt -> ofAttempt(attempt);
			case RelayEvent.CallerLeft left -> find(left).ifPresent((exchange) -> callerLeft(exchange));
			case RelayEvent.Reminded reminded -> find(reminded).ifPresent((exchange) -> reminded(exchange, reminded));
			case RelayEvent.EntriesRead read -> entriesRead(read);
			case RelayEvent.CaughtUp ignored -> this.caughtUp = true;
			case RelayEvent.Stored stored -> stored.requests().forEach(this::stored);
			case RelayEvent.HelpAsked asked -> helpAsked(asked);
			case RelayEvent.Isolation isolation -> isolation(isolation.isolated());
			case RelayEvent.TableRead read -> tableRead(read.table());
			case RelayEvent.UpstreamsRead read -> this.upstreams.replace(read.upstreams());
			case RelayEvent.UpstreamListed read -> listed(read.upstream());
			case RelayEvent.UpstreamGone gone -> gone(gone.id());
		}
		updateReadiness();
		List<RelayEffect> done = this.effects;
		this.effects = new ArrayList<>();
		return done;
	}

	/**
	 * Returns how many exchanges are under way.
	 * @return the number
	 */
	public int underWay() {
		return this.exchanges.size();
	}

	/**
	 * Returns the bytes of the turns that are kept.
	 * @return the bytes
	 */
	public long turnBytes() {
		return this.turns.bytes();
	}

	/**
	 * Returns how many programs' tokens are remembered.
	 * @return the number
	 */
	public int programs() {
		return this.tokens.size();
	}

	/**
	 * Returns how many upstreams are known.
	 * @return the number
	 */
	public int upstreams() {
		return this.upstreams.size();
	}

	private void updateReadiness() {
		boolean now = this.table.isPresent() && this.upstreams.listed() && this.caughtUp && !this.isolated;
		if (now != this.ready) {
			this.ready = now;
			this.effects.add(new RelayEffect.Ready(now));
		}
	}

	private void tableRead(RouteTable read) {
		if (this.table.isPresent() && this.table.get().version() >= read.version()) {
			return;
		}
		this.table = Optional.of(read);
		this.effects.add(new RelayEffect.Limit(read.limits()));
		this.effects.add(new RelayEffect.Tell(RelayNotices.accepted(read)));
	}

	private void listed(Upstream upstream) {
		Optional<Upstream> before = this.upstreams.find(upstream.id()).map(Known::upstream);
		this.upstreams.put(upstream);
		if (!before.equals(Optional.of(upstream))) {
			this.effects.add(new RelayEffect.Tell(RelayNotices.listed(upstream)));
		}
	}

	private void gone(String upstream) {
		this.upstreams.remove(upstream);
		this.effects.add(new RelayEffect.Tell(RelayNotices.gone(upstream)));
	}

	private void isolation(boolean isolated) {
		this.isolated = isolated;
		this.effects.add(new RelayEffect.Tell(RelayNotices.isolation(isolated)));
	}

	// Requests

	private void asked(RelayEvent.Asked asked) {
		if (this.table.isEmpty() || !this.upstreams.listed()) {
			refuseUnknown(asked, Refusal.NOT_READY, Optional.of(RelaySettings.COME_BACK_LATER));
			return;
		}
		Optional<Route> route = this.table.get().find(asked.head().host(), asked.head().path());
		if (route.isEmpty()) {
			refuseUnknown(asked, Refusal.NO_ROUTE, Optional.empty());
			return;
		}
		Exchange exchange = new Exchange(asked, route.get());
		this.exchanges.put(asked.exchange(), exchange);
		if (this.blames.stopped(asked.digest())) {
			refuse(exchange, Refusal.BLAMED, Optional.empty());
			return;
		}
		remind(exchange, exchange.left(this.now), Reminder.DUE);
		if (asked.head().turn().isPresent()) {
			turnAsked(exchange, asked.head().turn().get());
			return;
		}
		dispatch(exchange);
	}

	private void turnAsked(Exchange exchange, Turn turn) {
		if (!this.caughtUp) {
			refuse(exchange, Refusal.NOT_READY, Optional.of(RelaySettings.COME_BACK_LATER));
			return;
		}
		// A relay that reaches nobody can't see what a program spends elsewhere, and
		// would give it more than its budget. Refused here, the caller goes to a relay
		// that can see.
		if (this.isolated) {
			refuse(exchange, Refusal.ISOLATED, Optional.of(RelaySettings.COME_BACK));
			return;
		}
		if (!findChain(exchange, turn)) {
			this.effects.add(new RelayEffect.ReadLog());
			remind(exchange, exchange.route().target().dividedBy(RelaySettings.CHAIN_WAIT_PART), Reminder.CHAIN);
			return;
		}
		dispatch(exchange);
	}

	private boolean findChain(Exchange exchange, Turn turn) {
		if (!exchange.route().keepsTurns() || turn.previous().isEmpty()) {
			return true;
		}
		Optional<byte[]> chain = this.turns.chain(turn.previous().get());
		chain.ifPresent(exchange::found);
		return chain.isPresent();
	}

	private void dispatch(Exchange exchange) {
		if (!exchange.reserved()) {
			switch (admission(exchange)) {
				case REFUSED -> {
					refuse(exchange, Refusal.BUDGET_SPENT, Optional.empty());
					return;
				}
				case CONTENDING -> {
					contend(exchange);
					return;
				}
				case ADMITTED -> {
				}
			}
		}
		Optional<Known> chosen = choose(exchange);
		if (chosen.isEmpty()) {
			giveUp(exchange, exchange.mayHaveRun() ? Refusal.ANSWER_LOST : Refusal.NO_UPSTREAM);
			return;
		}
		send(exchange, chosen.get());
	}

	/**
	 * Decides by what is known here whether a program's budget holds a turn. What other
	 * relays began in the last moments is not known here yet. Far from the end of the
	 * budget this does no harm; near it, turns that begin at once would together take
	 * more than there is, so the log's order decides there.
	 * @param exchange the exchange
	 * @return the decision
	 */
	private Admission admission(Exchange exchange) {
		Optional<Turn> turn = exchange.head().turn();
		if (turn.isEmpty() || turn.get().budget().isEmpty()) {
			return Admission.ADMITTED;
		}
		long taken = this.tokens.taken(turn.get().program());
		long budget = turn.get().budget().getAsLong();
		if (taken + turn.get().most() > budget) {
			return Admission.REFUSED;
		}
		long atOnce = (long) RelaySettings.TURNS_AT_ONCE * turn.get().most();
		return (taken + atOnce <= budget + turn.get().most()) ? Admission.ADMITTED : Admission.CONTENDING;
	}

	private void contend(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		exchange.become(Phase.WAITING_FOR_ORDER);
		this.contending.put(exchange.head().id(), exchange.number());
		this.effects.add(new RelayEffect.Write(
				new LedgerEntry.Reserved(exchange.head().id(), turn.program(), turn.most(), "", List.of(), true)));
		remind(exchange, RelaySettings.ORDER_WAIT, Reminder.ORDER);
	}

	/**
	 * Decides on a turn whose reservation was read from the log: everything before it
	 * there is known now, and no relay takes anything after it into account first.
	 * @param exchange the exchange
	 */
	private void ordered(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		exchange.reserve();
		boolean held = this.tokens.taken(turn.program()) + turn.most() <= turn.budget().orElseThrow();
		this.tokens.reserve(turn.program(), exchange.head().id(), turn.most());
		if (!held) {
			giveUp(exchange, Refusal.BUDGET_SPENT);
			return;
		}
		dispatch(exchange);
	}

	private void orderDue(Exchange exchange) {
		if (exchange.phase() == Phase.WAITING_FOR_ORDER) {
			exchange.reserve();
			giveUp(exchange, Refusal.NOT_READY);
		}
	}

	private Optional<Known> choose(Exchange exchange) {
		String service = service(exchange.route());
		boolean engine = engine(service).isPresent();
		return this.choice.choose(this.upstreams.taking(service), exchange.tried(), exchange.head().prompt(), engine,
				this.now);
	}

	private Optional<RouteTable.Engine> engine(String service) {
		return this.table.flatMap((known) -> Optional.ofNullable(known.services().get(service)))
			.flatMap(RouteTable.Service::engine);
	}

	private String service(Route route) {
		double total = 0;
		for (Route.WeightedService target : route.targets()) {
			total += target.weight();
		}
		double point = this.random.nextDouble() * total;
		for (Route.WeightedService target : route.targets()) {
			point -= target.weight();
			if (point < 0) {
				return target.service();
			}
		}
		return route.targets().getLast().service();
	}

	private void send(Exchange exchange, Known known) {
		Upstream upstream = known.upstream();
		exchange.sentTo(upstream);
		known.began(exchange.head().id(), this.now);
		List<PromptPart> prompt = exchange.head().prompt();
		known.read(prompt, engine(upstream.service()).map(RouteTable.Engine::memory).orElse(0L));
		exchange.head().turn().ifPresent((turn) -> reserve(exchange, turn, upstream, prompt));
		boolean stream = exchange.route().repeatability() == Repeatability.STREAM;
		this.effects.add(new RelayEffect.Send(exchange.number(), exchange.attempt(), upstream, exchange.chain(),
				exchange.left(this.now), exchange.lastEvent(), stream));
	}

	private void reserve(Exchange exchange, Turn turn, Upstream upstream, List<PromptPart> prompt) {
		exchange.reserve();
		this.tokens.reserve(turn.program(), exchange.head().id(), turn.most());
		this.effects.add(new RelayEffect.Write(new LedgerEntry.Reserved(exchange.head().id(), turn.program(),
				turn.most(), upstream.id(), prompt, false)));
	}

	// Answers

	private void ofAttempt(RelayEvent.OfAttempt event) {
		Optional<Exchange> found = find(event);
		if (found.isEmpty() || found.get().attempt() != event.attempt() || found.get().phase() != Phase.RUNNING) {
			return;
		}
		Exchange exchange = found.get();
		switch (event) {
			case RelayEvent.Answered answered -> answered(exchange, answered);
			case RelayEvent.StreamOpened opened -> streamOpened(exchange, opened);
			case RelayEvent.EventArrived arrived -> eventArrived(exchange, arrived);
			case RelayEvent.StreamEnded ended -> streamEnded(exchange);
			case RelayEvent.AttemptFailed failed -> failed(exchange, failed.cause());
		}
	}

	private void answered(Exchange exchange, RelayEvent.Answered answered) {
		AnswerHead head = answered.head();
		Optional<Known> known = known(exchange);
		known.ifPresent((upstream) -> {
			upstream.ended(exchange.head().id());
			head.load().ifPresent((load) -> upstream.reported(load, this.now));
		});
		if (head.notRun()) {
			again(exchange);
			return;
		}
		exchange.mayRun();
		if (head.success() && !head.signed()) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		known.ifPresent(Known::worked);
		settle(exchange, Optional.empty());
		if (exchange.opened()) {
			breakOff(exchange, Refusal.ANSWER_LOST);
			return;
		}
		this.effects.add(new RelayEffect.Tell(RelayNotices.answered(exchange, head.status(), this.now)));
		measure(exchange, Outcome.ANSWERED);
		close(exchange, new RelayEffect.Answer(exchange.number(), head, answered.body()));
	}

	private void streamOpened(Exchange exchange, RelayEvent.StreamOpened opened) {
		exchange.mayRun();
		if (!opened.head().signed()) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		if (!exchange.opened()) {
			exchange.open();
			this.effects.add(new RelayEffect.OpenStream(exchange.number(), opened.head()));
		}
	}

	private void eventArrived(Exchange exchange, RelayEvent.EventArrived event) {
		if (exchange.has(event.number())) {
			return;
		}
		if (!exchange.expects(event.number())) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		exchange.passed(event);
		this.effects.add(new RelayEffect.PassEvent(exchange.number(), event.raw()));
	}

	private void streamEnded(Exchange exchange) {
		known(exchange).ifPresent((upstream) -> {
			upstream.ended(exchange.head().id());
			upstream.worked();
		});
		if (!exchange.route().keepsTurns() || exchange.head().turn().isEmpty()) {
			settle(exchange, Optional.empty());
			endStream(exchange);
			return;
		}
		Turn turn = exchange.head().turn().get();
		KeptTurn kept = new KeptTurn(turn.previous(), exchange.asked().body(), exchange.output());
		this.turns.add(exchange.head().id(), kept);
		settle(exchange, Optional.of(kept));
		exchange.become(Phase.ENDING);
		this.ending.put(exchange.head().id(), exchange.number());
		remind(exchange, RelaySettings.ALONE, Reminder.STORED);
	}

	private void failed(Exchange exchange, FailureCause cause) {
		Optional<Known> known = known(exchange);
		known.ifPresent((upstream) -> {
			upstream.ended(exchange.head().id());
			upstream.failed(this.now);
		});
		this.effects.add(new RelayEffect.Tell(RelayNotices.attemptFailed(exchange, cause)));
		if (!cause.mayHaveRun()) {
			exchange.notSent();
		}
		else {
			exchange.mayRun();
			blame(exchange, cause);
			this.effects.add(new RelayEffect.Cancel(exchange.number(), exchange.attempt()));
		}
		again(exchange);
	}

	private void blame(Exchange exchange, FailureCause cause) {
		if (cause != FailureCause.BROKEN || exchange.upstream().isEmpty()) {
			return;
		}
		String upstream = exchange.upstream().get().id();
		this.blames.add(exchange.asked().digest(), upstream);
		this.effects.add(new RelayEffect.Write(
				new LedgerEntry.Blamed(exchange.head().id(), exchange.asked().digest(), upstream)));
	}

	/**
	 * Sends a request once more if its route, its time and what it has done allow it, and
	 * ends it otherwise.
	 * @param exchange the exchange
	 */
	private void again(Exchange exchange) {
		boolean allowed = !exchange.mayHaveRun() || exchange.route().repeatable();
		boolean blamed = this.blames.stopped(exchange.asked().digest());
		if (allowed && !blamed && exchange.sends() < exchange.route().attempts() && this.now < exchange.due()) {
			Optional<Known> next = choose(exchange);
			if (next.isPresent()) {
				send(exchange, next.get());
				return;
			}
		}
		giveUp(exchange, exchange.mayHaveRun() ? Refusal.ANSWER_LOST : Refusal.NO_UPSTREAM);
	}

	private void giveUp(Exchange exchange, Refusal refusal) {
		settle(exchange, Optional.empty());
		if (exchange.opened()) {
			breakOff(exchange, refusal);
			return;
		}
		boolean worthAnother = refusal.verdict() == Verdict.NOT_RUN;
		refuse(exchange, refusal, worthAnother ? Optional.of(RelaySettings.COME_BACK) : Optional.empty());
	}

	private void settle(Exchange exchange, Optional<KeptTurn> kept) {
		if (!exchange.reserved()) {
			return;
		}
		Turn turn = exchange.head().turn().orElseThrow();
		int perEvent = engine(exchange.upstream().map(Upstream::service).orElse(""))
			.map(RouteTable.Engine::tokensPerEvent)
			.orElse(1);
		int given = exchange.events() * perEvent;
		this.tokens.settle(turn.program(), exchange.head().id(), given);
		this.effects
			.add(new RelayEffect.Write(new LedgerEntry.Settled(exchange.head().id(), turn.program(), given, kept)));
	}

	// Callers and time

	private void callerLeft(Exchange exchange) {
		if (exchange.phase() == Phase.WAITING_FOR_ORDER) {
			exchange.reserve();
			settle(exchange, Optional.empty());
		}
		if (exchange.phase() == Phase.RUNNING) {
			this.effects.add(new RelayEffect.Cancel(exchange.number(), exchange.attempt()));
			known(exchange).ifPresent((upstream) -> upstream.ended(exchange.head().id()));
			settle(exchange, Optional.empty());
		}
		this.effects.add(new RelayEffect.Tell(RelayNotices.callerLeft(exchange, this.now)));
		measure(exchange, Outcome.CALLER_LEFT);
		forget(exchange);
	}

	private void reminded(Exchange exchange, RelayEvent.Reminded event) {
		switch (event.reminder()) {
			case DUE -> due(exchange);
			case CHAIN -> chainDue(exchange);
			case ORDER -> orderDue(exchange);
			case STORED -> storeDue(exchange);
		}
	}

	private void due(Exchange exchange) {
		switch (exchange.phase()) {
			case WAITING_FOR_CHAIN -> refuse(exchange, Refusal.TURN_UNCERTAIN, Optional.of(RelaySettings.COME_BACK));
			case WAITING_FOR_ORDER -> orderDue(exchange);
			case RUNNING -> {
				this.effects.add(new RelayEffect.Cancel(exchange.number(), exchange.attempt()));
				known(exchange).ifPresent((upstream) -> upstream.ended(exchange.head().id()));
				giveUp(exchange, Refusal.NO_ANSWER_IN_TIME);
			}
			case ENDING -> breakOff(exchange, Refusal.NOT_STORED_IN_TIME);
		}
	}

	private void chainDue(Exchange exchange) {
		if (exchange.phase() == Phase.WAITING_FOR_CHAIN) {
			refuse(exchange, Refusal.TURN_UNCERTAIN, Optional.of(RelaySettings.COME_BACK));
		}
	}

	private void stored(String request) {
		if (this.contending.containsKey(request)) {
			this.effects.add(new RelayEffect.ReadLog());
		}
		String helped = this.helping.remove(request);
		if (helped != null) {
			this.effects.add(new RelayEffect.TellStored(helped, request));
		}
		Long number = this.ending.get(request);
		if (number != null) {
			endStream(this.exchanges.get(number));
		}
	}

	/**
	 * Asks others to write a turn that this relay can't write itself: the store may turn
	 * away some relays and serve others. The end of the turn still waits for the log, for
	 * the loss of all relays at once must not lose a turn that its caller saw whole.
	 * @param exchange the exchange
	 */
	private void storeDue(Exchange exchange) {
		if (exchange.phase() == Phase.ENDING) {
			this.effects.add(new RelayEffect.AskForHelp(exchange.head().id()));
			remind(exchange, RelaySettings.ALONE.multipliedBy(HELP_PAUSES), Reminder.STORED);
		}
	}

	private void helpAsked(RelayEvent.HelpAsked asked) {
		for (String request : asked.requests()) {
			Optional<LedgerEntry> turn = this.unlogged.turn(request);
			if (turn.isPresent() && !this.helping.containsKey(request)) {
				this.helping.put(request, asked.peer());
				this.effects.add(new RelayEffect.Write(turn.get()));
			}
		}
	}

	// What other relays and the log say

	private void entriesRead(RelayEvent.EntriesRead read) {
		for (LedgerEntry entry : read.entries()) {
			if (read.fromLog()) {
				this.unlogged.logged(entry);
			}
			else {
				this.unlogged.told(entry, read.now());
			}
			switch (entry) {
				case LedgerEntry.Reserved reserved -> reserved(reserved, read.fromLog());
				case LedgerEntry.Settled settled -> settledElsewhere(settled);
				case LedgerEntry.Blamed blamed -> this.blames.add(blamed.digest(), blamed.upstream());
			}
		}
		if (read.fromLog()) {
			adopt();
		}
		List<Exchange> waiting = this.exchanges.values()
			.stream()
			.filter((exchange) -> exchange.phase() == Phase.WAITING_FOR_CHAIN)
			.toList();
		for (Exchange exchange : waiting) {
			if (findChain(exchange, exchange.head().turn().orElseThrow())) {
				dispatch(exchange);
			}
		}
	}

	private void adopt() {
		if (this.now - this.logReadAt > RelaySettings.LOG_GAP.toMillis()) {
			this.unlogged.logBack(this.now);
		}
		this.logReadAt = this.now;
		for (LedgerEntry entry : this.unlogged.overdue(this.now)) {
			this.effects.add(new RelayEffect.Write(entry));
		}
	}

	private void reserved(LedgerEntry.Reserved reserved, boolean fromLog) {
		Long own = this.contending.remove(fromLog ? reserved.request() : "");
		if (own != null) {
			ordered(this.exchanges.get(own));
			return;
		}
		if (!reserved.contending() || fromLog) {
			reservedElsewhere(reserved);
		}
	}

	private void reservedElsewhere(LedgerEntry.Reserved reserved) {
		this.tokens.reserve(reserved.program(), reserved.request(), reserved.tokens());
		if (this.tokens.open(reserved.program(), reserved.request())) {
			this.upstreams.find(reserved.upstream()).ifPresent((known) -> {
				known.began(reserved.request(), this.now);
				known.read(reserved.prompt(),
						engine(known.upstream().service()).map(RouteTable.Engine::memory).orElse(0L));
			});
		}
	}

	private void settledElsewhere(LedgerEntry.Settled settled) {
		this.tokens.settle(settled.program(), settled.request(), settled.tokens());
		settled.kept().ifPresent((kept) -> this.turns.add(settled.request(), kept));
		this.upstreams.ended(settled.request());
	}

	// Ends

	private Optional<Exchange> find(RelayEvent.OfExchange event) {
		return Optional.ofNullable(this.exchanges.get(event.exchange()));
	}

	private Optional<Known> known(Exchange exchange) {
		return exchange.upstream().flatMap((upstream) -> this.upstreams.find(upstream.id()));
	}

	private void refuseUnknown(RelayEvent.Asked asked, Refusal refusal, Optional<Duration> comeBack) {
		this.effects.add(new RelayEffect.Tell(RelayNotices.refused(asked.head(), refusal)));
		this.effects.add(new RelayEffect.Refuse(asked.exchange(), refusal, comeBack));
	}

	private void refuse(Exchange exchange, Refusal refusal, Optional<Duration> comeBack) {
		this.effects.add(new RelayEffect.Tell(RelayNotices.refused(exchange, refusal, this.now)));
		measure(exchange, Outcome.REFUSED);
		close(exchange, new RelayEffect.Refuse(exchange.number(), refusal, comeBack));
	}

	private void breakOff(Exchange exchange, Refusal reason) {
		this.effects.add(new RelayEffect.Tell(RelayNotices.brokenOff(exchange, reason, this.now)));
		measure(exchange, Outcome.BROKEN_OFF);
		close(exchange, new RelayEffect.BreakOff(exchange.number()));
	}

	private void endStream(Exchange exchange) {
		this.effects.add(new RelayEffect.Tell(RelayNotices.answered(exchange, AnswerHead.SUCCESS, this.now)));
		measure(exchange, Outcome.ANSWERED);
		close(exchange, new RelayEffect.EndStream(exchange.number()));
	}

	private void measure(Exchange exchange, Outcome outcome) {
		Duration latency = Duration.ofMillis(this.now - exchange.asked().now());
		this.effects.add(new RelayEffect.Measure(
				new Measurement.RouteRequestEnded(exchange.route().name(), outcome, latency, exchange.firstEvent())));
	}

	private void close(Exchange exchange, RelayEffect last) {
		this.effects.add(last);
		forget(exchange);
	}

	private void forget(Exchange exchange) {
		this.exchanges.remove(exchange.number());
		this.ending.remove(exchange.head().id());
		this.contending.remove(exchange.head().id());
	}

	private void remind(Exchange exchange, Duration delay, Reminder reminder) {
		this.effects.add(new RelayEffect.Remind(exchange.number(), delay, reminder));
	}

	/**
	 * Whether a turn may run. Safe for use by several threads.
	 */
	private enum Admission {

		/**
		 * It may.
		 */
		ADMITTED,

		/**
		 * The log's order decides.
		 */
		CONTENDING,

		/**
		 * Its program's budget does not hold it.
		 */
		REFUSED

	}

}
