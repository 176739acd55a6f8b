package io.lentilslip.core.relay;

import java.util.Optional;

import io.lentilslip.core.relay.Upstreams.Known;

/**
 * What a relay makes of the site's state: routes, upstreams, and whether it can serve.
 * Used by one thread.
 */
final class SiteRules {

	private final RelayState state;

	SiteRules(RelayState state) {
		this.state = state;
	}

	void updateReadiness() {
		boolean now = this.state.table.isPresent() && this.state.upstreams.listed() && this.state.caughtUp
				&& !this.state.isolated;
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
		this.state.upstreams.put(upstream);
		if (!before.equals(Optional.of(upstream))) {
			this.state.tell(RelayNotices.listed(upstream));
		}
	}

	void gone(String upstream) {
		this.state.upstreams.remove(upstream);
		this.state.tell(RelayNotices.gone(upstream));
	}

	void isolation(boolean isolated) {
		this.state.isolated = isolated;
		this.state.tell(RelayNotices.isolation(isolated));
	}

}
