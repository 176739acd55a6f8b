package io.lentilslip.settings.folder;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.identity.Digest;

final class Sources {

	static final String BASE = """
			[site]
			name = small
			zones = north, south

			[group sellers]
			share = 2
			budget_tokens = 5000
			budget_period = 1h

			[group buyers]
			share = 3

			[caller desk]
			group = sellers
			key_sha256 = %s

			[program-rule drafts]
			group = sellers
			prefix = draft-
			class = background

			[model m]
			context_tokens = 8000
			maximum_output_tokens = 1000

			[service pings]
			timeout = 5s
			repeatable = GET /prices, HEAD /prices

			[upstream vm-1]
			zone = north
			sidecar = 10.0.0.1:7000
			address = 127.0.0.1:8000
			kind = engine
			models = m
			checks_fencing_numbers = false
			kv_tokens = 100000
			maximum_calls = 8

			[upstream vm-2]
			zone = south
			sidecar = 10.0.0.2:7000
			address = 127.0.0.1:8000
			kind = service
			services = pings
			maximum_calls = 8

			[limits]
			program_turns = 100
			drain_time = 20m
			""".formatted(Digest.of("desk key"));

	private Sources() {
	}

	static ConfigurationSource base() {
		return new ConfigurationSource(List.of(file("10-base.ini", BASE)));
	}

	static ConfigurationSource baseWith(String override) {
		return new ConfigurationSource(List.of(file("20-more.ini", override), file("10-base.ini", BASE)));
	}

	static ConfigurationFile file(String name, String text) {
		return new ConfigurationFile(name, text.getBytes(StandardCharsets.UTF_8));
	}

}
