package io.lentilslip.standin.weight;

import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.AvailabilityGate;
import io.lentilslip.standin.http.FaultCounter;
import io.lentilslip.standin.http.Json;
import io.lentilslip.standin.http.RateLimit;
import io.lentilslip.standin.http.StandInServer;

/**
 * A weight store for tests and the demonstration: small files by model and version, a
 * rate of requests, and contents that break off half-way. It holds what it was given, so
 * its memory is bounded by its owner. Safe for use by several threads.
 */
public final class WeightStoreStandIn implements AutoCloseable {

	private static final String DESCRIPTION_PATH = "/v1/weights/description";

	private static final String CONTENT_PATH = "/v1/weights/content";

	private static final String CUT_CONTENTS_PATH = "/control/cut-contents";

	private final Map<Key, byte[]> contents = new ConcurrentHashMap<>();

	private final FaultCounter contentsToCut = new FaultCounter();

	private final RateLimit rate;

	private final StandInServer server;

	private AvailabilityGate gate;

	private WeightStoreStandIn(int port, int requestsPerSecond, LongSupplier nanoClock) {
		this.rate = new RateLimit(requestsPerSecond, nanoClock);
		this.server = StandInServer.start(port, this::install);
	}

	/**
	 * Starts an empty store.
	 * @param port the port, or {@link StandInServer#ANY_PORT}
	 * @param requestsPerSecond the requests that a second allows
	 * @param nanoClock a clock in nanoseconds that never goes back, for the rate
	 * @return the stand-in, which listens already
	 */
	public static WeightStoreStandIn start(int port, int requestsPerSecond, LongSupplier nanoClock) {
		return new WeightStoreStandIn(port, requestsPerSecond, nanoClock);
	}

	/**
	 * Returns the address that this stand-in listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Changes how requests that arrive from now on are taken.
	 * @param availability the new state
	 */
	public void setAvailability(Availability availability) {
		this.gate.set(availability);
	}

	/**
	 * Puts a file into the store.
	 * @param model the model
	 * @param version the version
	 * @param content the bytes of the file
	 */
	public void put(String model, String version, byte[] content) {
		this.contents.put(new Key(model, version), content.clone());
	}

	/**
	 * Lets the next contents break off half-way.
	 * @param count the number of contents
	 */
	public void cutContents(int count) {
		this.contentsToCut.set(count);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void install(Jooby application, StandInServer running) {
		this.gate = AvailabilityGate.install(application, running);
		application.get(DESCRIPTION_PATH, this.gate.before(this::describe));
		application.get(CONTENT_PATH, this.gate.before((context) -> sendContent(context, running)));
		this.contentsToCut.install(application, CUT_CONTENTS_PATH);
	}

	private void describe(Context context) {
		find(context).ifPresent((content) -> Json.send(context, new Description(content.length, digest(content))));
	}

	private void sendContent(Context context, StandInServer running) {
		Optional<byte[]> content = find(context);
		if (content.isEmpty()) {
			return;
		}
		byte[] bytes = content.get();
		if (this.contentsToCut.take()) {
			running.cutOff(context, Arrays.copyOf(bytes, bytes.length / 2), bytes.length);
			return;
		}
		context.setResponseType(MediaType.octetStream).send(bytes);
	}

	/**
	 * Finds the file that a request names, or answers the request by an error.
	 * @param context the request
	 * @return the file, or an empty result if the request is answered
	 */
	private Optional<byte[]> find(Context context) {
		Optional<Duration> delay = this.rate.take();
		if (delay.isPresent()) {
			RateLimit.refuse(context, delay.get());
			return Optional.empty();
		}
		Key key = new Key(context.query("model").value(""), context.query("version").value(""));
		Optional<byte[]> content = Optional.ofNullable(this.contents.get(key));
		if (content.isEmpty()) {
			Json.sendError(context, StatusCode.NOT_FOUND, "no such version");
		}
		return content;
	}

	private static String digest(byte[] content) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	/**
	 * The name of a file.
	 *
	 * @param model the model
	 * @param version the version
	 */
	private record Key(String model, String version) {

	}

	/**
	 * A description as answers hold it.
	 *
	 * @param size the number of bytes
	 * @param digest the SHA-256 digest in hexadecimal digits
	 */
	private record Description(long size, String digest) {

	}

}
