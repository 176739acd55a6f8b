package io.lentilslip.core.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RouteTableTests {

	private final RouteTable table = new RouteTable(1, List.of(route("short", "/a/"), route("long", "/a/b/")), Map.of(),
			RouteTable.Limits.defaults(), Optional.empty());

	@Test
	void longestPrefixWins() {
		assertThat(this.table.find("host", "/a/b/c").map(Route::name)).contains("long");
		assertThat(this.table.find("host", "/a/bc").map(Route::name)).contains("short");
	}

	@Test
	void hostIsMatchedIgnoringCase() {
		assertThat(this.table.find("HOST", "/a/x")).isPresent();
		assertThat(this.table.find("other", "/a/x")).isEmpty();
	}

	@Test
	void pathWithoutThePrefixHasNoRoute() {
		assertThat(this.table.find("host", "/a")).isEmpty();
	}

	private static Route route(String name, String prefix) {
		Route any = RelayFixture.route(name, Repeatability.IDEMPOTENT, false, false, "s");
		return new Route(name, "host", prefix, any.repeatability(), any.timeout(), any.latencyTarget(),
				any.maxAttempts(), any.priority(), any.resumable(), any.storesTurns(), any.retention(), any.affinity(),
				any.anonymousAllowed(), any.services());
	}

}
