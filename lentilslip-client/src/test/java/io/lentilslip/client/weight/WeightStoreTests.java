package io.lentilslip.client.weight;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import io.lentilslip.client.Endpoints;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.StandInServer;
import io.lentilslip.standin.weight.WeightStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class WeightStoreTests {

	private static final WeightVersion VERSION = new WeightVersion(new ModelName("heron/7b"), "2");

	private static final byte[] CONTENT = new byte[100_000];

	private static final WeightDescription DESCRIPTION = new WeightDescription(VERSION, CONTENT.length,
			Digest.of(CONTENT));

	private final AtomicLong nanos = new AtomicLong();

	private final WeightStoreStandIn standIn = WeightStoreStandIn.start(StandInServer.ANY_PORT, 2, this.nanos::get);

	private final WeightStore store = new WeightStore.ForHttp(Endpoints.of(this.standIn.address()),
			HttpLimits.defaults());

	WeightStoreTests() {
		this.standIn.put("heron/7b", "2", CONTENT);
	}

	@AfterEach
	void stop() {
		this.store.close();
		this.standIn.close();
	}

	@Test
	void describesAndFetches() throws IOException {
		assertThat(describe()).isEqualTo(new WeightOutcome.Found<>(DESCRIPTION));
		try (WeightStream stream = fetch(DESCRIPTION)) {
			assertThat(stream.readAllBytes()).isEqualTo(CONTENT);
		}
	}

	@Test
	void anUnknownVersionIsNotFound() {
		assertThat(join(this.store.describe(new WeightVersion(new ModelName("heron/7b"), "3"))))
			.isEqualTo(new WeightOutcome.NotFound<>());
	}

	// The store takes two requests a second. The third is told when to come
	// back, as an outcome of its own: an engine that waits is not broken.
	@Test
	void aRequestOverTheRateIsToldWhenToComeBack() {
		describe();
		describe();
		WeightOutcome<?> limited = new WeightOutcome.RateLimited<>(Optional.of(Duration.ofSeconds(1)));
		assertThat(describe()).isEqualTo(limited);
		assertThat(join(this.store.fetch(DESCRIPTION))).isEqualTo(limited);
		this.nanos.addAndGet(Duration.ofSeconds(1).toNanos());
		assertThat(describe()).isInstanceOf(WeightOutcome.Found.class);
	}

	// The connection breaks off in the middle of the weights. The stream must
	// fail rather than end, or half a file would pass for the whole.
	@Test
	void contentsThatBreakOffFail() throws IOException {
		this.standIn.cutContents(1);
		try (WeightStream stream = fetch(DESCRIPTION)) {
			assertThatExceptionOfType(IOException.class).isThrownBy(stream::readAllBytes);
		}
	}

	// The file was replaced between description and fetch. Its bytes are whole
	// but are not the ones described, so the stream fails at its end.
	@Test
	void contentsOtherThanDescribedFail() throws IOException {
		byte[] other = CONTENT.clone();
		other[0] = 1;
		this.standIn.put("heron/7b", "2", other);
		try (WeightStream stream = fetch(DESCRIPTION)) {
			assertThatExceptionOfType(IOException.class).isThrownBy(stream::readAllBytes)
				.withMessageContaining("digest");
		}
		WeightDescription shorter = new WeightDescription(VERSION, 10, DESCRIPTION.digest());
		try (WeightStream stream = fetch(shorter)) {
			assertThatExceptionOfType(IOException.class).isThrownBy(stream::readAllBytes)
				.withMessageContaining("more than 10 bytes");
		}
	}

	@Test
	void aStoreThatIsDownIsUnavailable() {
		this.standIn.setAvailability(new Availability.Refusing());
		assertThat(describe()).isEqualTo(new WeightOutcome.Unavailable<>("status 503"));
		this.standIn.close();
		assertThat(describe()).isInstanceOf(WeightOutcome.Unavailable.class);
		assertThat(join(this.store.fetch(DESCRIPTION))).isInstanceOf(WeightOutcome.Unavailable.class);
	}

	private WeightOutcome<WeightDescription> describe() {
		return join(this.store.describe(VERSION));
	}

	private WeightStream fetch(WeightDescription description) {
		return ((WeightOutcome.Found<WeightStream>) join(this.store.fetch(description))).value();
	}

	private static <T> T join(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

}
