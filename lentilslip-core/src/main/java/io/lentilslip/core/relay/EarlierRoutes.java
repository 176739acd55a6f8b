package io.lentilslip.core.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;

/**
 * The route tables that were replaced while streams that began under them can be resumed.
 * Bounded in number and age; if there were more, nothing is known of the time before the
 * latest of them. Used by one thread.
 */
final class EarlierRoutes {

	private static final int MAX_TABLES = 16;

	private final Deque<Replaced> tables = new ArrayDeque<>();

	private long knownSince = RelayState.NEVER;

	/**
	 * Records that a table was replaced.
	 * @param table the table
	 * @param by the table that replaced it
	 * @param now the current time
	 */
	void replaced(RouteTable table, RouteTable by, long now) {
		if (table.routes().equals(by.routes())) {
			return;
		}
		this.tables.add(new Replaced(
				new RouteTable(table.version(), table.routes(), Map.of(), table.limits(), Optional.empty()), now));
		if (this.tables.size() > MAX_TABLES) {
			this.knownSince = this.tables.poll().at();
		}
	}

	/**
	 * Returns whether requests for a target have gone to one service only.
	 * @param service the service
	 * @param head the head of a request for the target
	 * @param since the time from which on tables count
	 * @return whether they have, as far as this relay had read the tables
	 */
	boolean ledOnlyTo(String service, RequestHead head, long since) {
		this.tables.removeIf((replaced) -> replaced.at() < since);
		return this.knownSince < since && this.tables.stream()
			.flatMap((replaced) -> replaced.table().find(head.host(), head.path()).stream())
			.flatMap((route) -> route.services().stream())
			.allMatch((target) -> target.service().equals(service));
	}

	/**
	 * A table that was replaced. Immutable.
	 *
	 * @param table the table, without its services and teams
	 * @param at when it was replaced
	 */
	private record Replaced(RouteTable table, long at) {

	}

}
