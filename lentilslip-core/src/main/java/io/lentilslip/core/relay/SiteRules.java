package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.RelayEvent.Reach;
import io.lentilslip.core.relay.Upstreams.Known;

/**
 * What a relay makes of the site's state: routes, upstreams, and whether it can serve.
 * Used by one thread.
 */
final class SiteRules {

	private final RelayState state;

	private final ExchangeEnds ends;

	private final ToldProblems problems = new ToldProblems();

	SiteRules(RelayState state, ExchangeEnds ends) {
		this.state = state;
		this.ends = ends;
	}

	void updateReadiness() {
		boolean now = this.state.table.isPresent() && this.state.upstreams.listed() && this.state.caughtUp
				&& this.state.reach != Reach.NOTHING;
		if (now != this.state.ready) {
			this.state.ready = now;
			this.state.emit(new RelayEffect.Ready(now));
		}
	}

	void tableRead(RouteTable read) {
		if (this.state.table.isPresent() && this.state.table.get().version() >= read.version()) {
			return;
		}
		this.state.table = Optional.of(read);
		this.state.emit(new RelayEffect.Limit(read.limits()));
		this.state.tell(RelayNotices.accepted(read));
	}

	void listed(Upstream upstream) {
		Optional<Upstream> before = this.state.upstreams.find(upstream.id()).map(Known::upstream);
		if (!this.state.upstreams.put(upstream)) {
			tellUnusable(upstream.id(), EntryProblem.EARLIER_LIFE);
			return;
		}
		if (!before.equals(Optional.of(upstream))) {
			this.state.tell(RelayNotices.listed(upstream));
		}
	}

	/**
	 * Takes that a record names no upstream to use: an upstream that it named before is
	 * used no more, and all others hold.
	 * @param key the key of the record
	 * @param problem why
	 */
	void unusable(String key, EntryProblem problem) {
		tellUnusable(key, problem);
		if (this.state.upstreams.find(key).isPresent()) {
			gone(key);
		}
	}

	private void tellUnusable(String key, EntryProblem problem) {
		if (this.problems.first(key, problem)) {
			this.state.tell(RelayNotices.unusable(key, problem));
		}
	}

	void gone(String upstream) {
		this.state.upstreams.remove(upstream);
		this.state.tell(RelayNotices.gone(upstream));
	}

	/**
	 * Takes that the relay did not run for a while. What others gave to programs
	 * meanwhile is not known here; decided on old beliefs, a turn that came during the
	 * sleep could pass its budget. So turns wait until the log was read once more.
	 * @param slept for how long
	 */
	void woken(Duration slept) {
		this.state.tell(RelayNotices.woken(slept));
		if (this.state.caughtUp) {
			this.state.stale = true;
			this.state.emit(new RelayEffect.CatchUp());
		}
	}

	/**
	 * Takes what the relay reaches. Turns that wait for their place in a log that is out
	 * of reach are refused at once, so that their callers try a relay that reaches it
	 * while there is time.
	 * @param reach what it reaches
	 */
	void reachChanged(Reach reach) {
		this.state.reach = reach;
		this.state.tell(RelayNotices.reach(reach));
		if (reach != Reach.LOG) {
			List.copyOf(this.state.contending.values())
				.forEach((number) -> this.ends.orderDue(this.state.exchanges.get(number)));
		}
	}

}
