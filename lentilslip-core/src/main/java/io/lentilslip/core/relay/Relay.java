package io.lentilslip.core.relay;

import java.util.List;

/**
 * The reducer of a relay: takes every event, and returns what is to be done about it. All
 * that a relay decides is decided here; it reads no clock and does no I/O. An exchange is
 * known from {@link RelayEvent.Asked} until one of {@link RelayEffect.Answer},
 * {@link RelayEffect.EndStream}, {@link RelayEffect.BreakOff} or
 * {@link RelayEffect.Refuse} was returned for it, exactly one of which ever is, or until
 * its caller has left. Used by one thread.
 */
public final class Relay {

	private final RelayState state;

	private final SiteRules site;

	private final RequestRules requests;

	private final BudgetRules budgets;

	private final AnswerRules answers;

	private final LedgerRules ledger;

	private final TextRules texts;

	private final QuotaRules quotas;

	private final ExchangeEnds ends;

	/**
	 * Creates a relay that knows nothing yet.
	 * @param settings what it is set to
	 */
	public Relay(RelaySettings settings) {
		this.state = new RelayState(settings);
		this.ends = new ExchangeEnds(this.state);
		this.budgets = new BudgetRules(this.state, this.ends);
		this.site = new SiteRules(this.state, this.budgets);
		this.texts = new TextRules(this.state, this.ends);
		this.requests = new RequestRules(this.state, this.budgets, this.texts, this.ends);
		this.quotas = this.requests.quotas();
		this.answers = new AnswerRules(this.state, this.requests, this.texts, this.ends);
		this.ledger = new LedgerRules(this.state, this.requests, this.budgets, this.ends);
	}

	/**
	 * Takes an event.
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	public List<RelayEffect> on(RelayEvent event) {
		this.state.now = event.now();
		switch (event) {
			case RelayEvent.Asked asked -> this.requests.asked(asked);
			case RelayEvent.OfAttempt attempt -> this.answers.ofAttempt(attempt);
			case RelayEvent.CallerLeft left -> this.state.find(left).ifPresent(this.ends::callerLeft);
			case RelayEvent.Reminded reminded ->
				this.state.find(reminded).ifPresent((exchange) -> reminded(exchange, reminded.reminder()));
			case RelayEvent.EntriesRead read -> this.ledger.entriesRead(read);
			case RelayEvent.Woken woken -> {
				this.quotas.woken();
				this.site.woken(woken.slept());
			}
			case RelayEvent.CaughtUp caughtUp -> this.ledger.caughtUp(caughtUp);
			case RelayEvent.Stored stored -> stored.requests().forEach(this.texts::entryStored);
			case RelayEvent.TextsStored stored -> this.texts.textsStored(stored);
			case RelayEvent.Helped helped -> helped.requests().forEach(this.texts::end);
			case RelayEvent.PlacesAsked asked -> this.texts.placesAsked(asked);
			case RelayEvent.PlacesTold told -> {
				this.texts.placesTold(told);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.TextsAsked asked -> this.texts.asked(asked);
			case RelayEvent.TextsTold told -> {
				this.texts.told(told);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.TextRead read -> {
				this.texts.read(read);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.TakenAsked asked -> this.budgets.asked(asked);
			case RelayEvent.TakenTold told -> this.ledger.takenTold(told);
			case RelayEvent.TakenUnsure unsure -> this.ledger.takenUnsure(unsure);
			case RelayEvent.LoadsTold told -> this.state.upstreams.told(told.loads(), event.now());
			case RelayEvent.RelaysListed read -> {
				if (this.state.keepers.list(read.members())) {
					this.quotas.relaysChanged();
				}
			}
			case RelayEvent.PermitsRequested asked -> this.quotas.asked(asked);
			case RelayEvent.PermitsGranted granted -> this.quotas.granted(granted);
			case RelayEvent.UnloggedAsked asked -> this.site.tellUnlogged(asked.peer());
			case RelayEvent.PlaceTold told -> this.ledger.placeTold(told);
			case RelayEvent.PeerLinked linked -> this.site.linked(linked.peer());
			case RelayEvent.PeerTold told -> this.site.told(told.peer(), told.others());
			case RelayEvent.Opened opened -> this.state.name = opened.name();
			case RelayEvent.PeerLost lost -> this.site.lost(lost.peer());
			case RelayEvent.HelpAsked asked -> this.texts.helpAsked(asked);
			case RelayEvent.ReachChanged changed -> this.site.reachChanged(changed.reach());
			case RelayEvent.TableRead read -> this.site.tableRead(read.table());
			case RelayEvent.UpstreamsRead read -> this.state.upstreams.replace(read.upstreams());
			case RelayEvent.UpstreamListed read -> this.site.listed(read.upstream());
			case RelayEvent.UpstreamUnusable unusable -> this.site.unusable(unusable.id(), unusable.problem());
			case RelayEvent.UpstreamGone gone -> this.site.gone(gone.id());
		}
		this.site.updateReadiness();
		return this.state.take();
	}

	/**
	 * Returns how many exchanges are under way.
	 * @return the number
	 */
	public int underWay() {
		return this.state.exchanges.size();
	}

	private void reminded(Exchange exchange, RelayEvent.Reminder reminder) {
		switch (reminder) {
			case DUE -> this.ends.due(exchange);
			case CHAIN -> this.texts.chainDue(exchange);
			case TEXTS -> this.texts.textsDue(exchange);
			case ORDER -> this.budgets.orderDue(exchange);
			case STORED -> this.texts.storeDue(exchange);
			case SILENCE -> this.answers.silenceDue(exchange);
			case PERMIT -> this.quotas.due(exchange);
		}
	}

}
