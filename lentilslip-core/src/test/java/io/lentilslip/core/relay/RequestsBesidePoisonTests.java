package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Streams run beside one that crashes each of its upstreams after some events and comes
 * again. Its upstreams are back as new incarnations, and callers send what was broken off
 * again.
 */
class RequestsBesidePoisonTests {

	private static final int SEEDS = 20;

	private static final int UPSTREAMS = 6;

	private static final int BESIDE = 18;

	private static final int EVENTS = 12;

	private static final int STEP_MILLIS = 50;

	private static final int STEPS = 1200;

	private static final int STEPS_BETWEEN_POISON = 60;

	// Guards against sending a poison request on because it brings events, and against
	// refusing the streams beside it in its place.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 5 })
	void poisonStreamIsStoppedAndThoseBesideItAreServed(int eventsBeforeCrash) {
		int crashes = 0;
		int sent = 0;
		int refused = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			Site site = new Site(seed, eventsBeforeCrash);
			site.run();
			crashes = Math.max(crashes, site.crashes);
			sent += site.sent;
			refused += site.refused;
		}
		assertThat(crashes).isLessThanOrEqualTo(2 * PoisonRequests.MAX_FAILED_INCARNATIONS);
		assertThat(refused).isLessThan(sent / 50);
	}

	/**
	 * One relay, its upstreams and its callers, in virtual time. Used by one thread.
	 */
	private static final class Site {

		private final RelayFixture relay;

		private final Random random;

		private final int eventsBeforeCrash;

		private final Map<Long, Stream> streams = new TreeMap<>();

		private final Map<String, Integer> incarnations = new HashMap<>();

		private int contents;

		private int crashes;

		private int sent;

		private int refused;

		Site(int seed, int eventsBeforeCrash) {
			this.relay = RelayFixture.ready(seed);
			this.random = new Random(seed);
			this.eventsBeforeCrash = eventsBeforeCrash;
			for (int i = 1; i <= UPSTREAMS; i++) {
				replace("e" + i);
			}
		}

		void run() {
			for (int i = 0; i < BESIDE; i++) {
				send("target" + this.contents++);
			}
			for (int step = 1; step <= STEPS; step++) {
				this.relay.advance(STEP_MILLIS);
				if (step % STEPS_BETWEEN_POISON == 0) {
					send("poison");
				}
				for (Stream stream : List.copyOf(this.streams.values())) {
					if (this.streams.containsValue(stream) && this.random.nextBoolean()) {
						advance(stream);
					}
				}
			}
		}

		private void send(String content) {
			boolean poison = content.equals("poison");
			this.sent += poison ? 0 : 1;
			apply(this.relay.sendRequest("r" + this.relay.exchange(), "draft", content, content), content);
			long number = this.relay.exchange();
			if (!poison && !this.streams.containsKey(number)) {
				this.refused++;
				send("target" + this.contents++);
			}
		}

		private void apply(List<RelayEffect> effects, String content) {
			RelayFixture.ofType(effects, RelayEffect.SendRequest.class)
				.forEach((send) -> this.streams.put(send.exchange(), new Stream(send.exchange(), send.attempt(),
						send.upstream(), content, send.lastEvent().orElse(0))));
		}

		private void advance(Stream stream) {
			long now = this.relay.now();
			if (stream.events == 0) {
				this.relay
					.handle(new RelayEvent.StreamOpened(now, stream.exchange, stream.attempt, RelayFixture.SIGNED));
			}
			if (stream.content.equals("poison") && stream.events >= this.eventsBeforeCrash) {
				crash(stream.upstream);
				return;
			}
			stream.events++;
			byte[] data = "event".getBytes();
			long number = stream.lastEvent + stream.events;
			this.relay
				.handle(new RelayEvent.StreamEventReceived(now, stream.exchange, stream.attempt, number, data, data));
			if (number >= EVENTS) {
				this.relay.handle(new RelayEvent.StreamEnded(now, stream.exchange, stream.attempt));
				this.streams.remove(stream.exchange);
				send("target" + this.contents++);
			}
		}

		private void crash(Upstream upstream) {
			this.crashes++;
			List<Stream> broken = new ArrayList<>(this.streams.values());
			broken.removeIf((stream) -> !stream.upstream.incarnationId().equals(upstream.incarnationId()));
			Collections.shuffle(broken, this.random);
			for (Stream stream : broken) {
				this.streams.remove(stream.exchange);
				apply(this.relay.handle(new RelayEvent.AttemptFailed(this.relay.now(), stream.exchange, stream.attempt,
						FailureCause.BROKEN)), stream.content);
			}
			replace(upstream.id());
			for (Stream stream : broken) {
				if (!this.streams.containsKey(stream.exchange) && !stream.content.equals("poison")) {
					send(stream.content);
				}
			}
		}

		private void replace(String id) {
			this.relay.handle(new RelayEvent.UpstreamUpdated(this.relay.now(),
					RelayFixture.withStartTime(id, RelayFixture.ENGINE, this.incarnations.merge(id, 1, Integer::sum))));
		}

	}

	/**
	 * An attempt. Used by one thread.
	 */
	private static final class Stream {

		private final long exchange;

		private final int attempt;

		private final Upstream upstream;

		private final String content;

		private final long lastEvent;

		private int events;

		Stream(long exchange, int attempt, Upstream upstream, String content, long lastEvent) {
			this.exchange = exchange;
			this.attempt = attempt;
			this.upstream = upstream;
			this.content = content;
			this.lastEvent = lastEvent;
		}

	}

}
