package io.lentilslip.runtime.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;

import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.wire.codec.ConfigurationRecordCodec;
import io.lentilslip.wire.configuration.PublishedConfiguration;

final class Sources {

	private static final String TEXT = """
			[site]
			name = %s
			zones = north

			[group sellers]
			share = %s

			[service pings]
			timeout = 5s

			[upstream vm-1]
			zone = north
			sidecar = 10.0.0.1:7000
			address = 127.0.0.1:8000
			kind = service
			services = pings
			maximum_calls = 8
			""";

	private Sources() {
	}

	static ConfigurationSource valid(String site) {
		return of(TEXT.formatted(site, "1"));
	}

	static ConfigurationSource invalid() {
		return of(TEXT.formatted("small", "none"));
	}

	static byte[] record(long base, UUID publication, ConfigurationSource source) {
		return ConfigurationRecordCodec.encode(new PublishedConfiguration(base, publication, source));
	}

	private static ConfigurationSource of(String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		return new ConfigurationSource(List.of(new ConfigurationFile("10-base.ini", bytes)));
	}

}
