package io.lentilslip.wire.link;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits and times of links. Both ends of a link need the same secret and should have
 * the same values. Immutable and safe for use by several threads.
 *
 * @param secret the secret that all processes share
 * @param maximumFrameBytes the most bytes of one message
 * @param maximumPendingBytes the most bytes that wait to be written to one peer
 * @param maximumLinks the most connections of one server, those in their handshake
 * included
 * @param handshakeTimeout the most time from a connection to an open link, and the most
 * that a close waits for the peer
 * @param heartbeatInterval the time without a message after which a heartbeat is sent
 * @param silentIntervals the number of heartbeat intervals without a byte after which a
 * link ends
 */
public record LinkSettings(LinkSecret secret, int maximumFrameBytes, int maximumPendingBytes, int maximumLinks,
		Duration handshakeTimeout, Duration heartbeatInterval, int silentIntervals) {

	/**
	 * The fewest silent intervals: a peer sends within two intervals, and one more is
	 * left for the way.
	 */
	public static final int MINIMUM_SILENT_INTERVALS = 3;

	private static final int STANDARD_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int STANDARD_PENDING_BYTES = 32 * 1024 * 1024;

	private static final int STANDARD_LINKS = 1_024;

	private static final Duration STANDARD_HANDSHAKE_TIMEOUT = Duration.ofSeconds(3);

	private static final Duration STANDARD_HEARTBEAT_INTERVAL = Duration.ofMillis(500);

	/**
	 * Creates settings.
	 * @param secret the secret that all processes share
	 * @param maximumFrameBytes the most bytes of one message
	 * @param maximumPendingBytes the most bytes that wait to be written to one peer
	 * @param maximumLinks the most connections of one server, those in their handshake
	 * included
	 * @param handshakeTimeout the most time from a connection to an open link, and the
	 * most that a close waits for the peer
	 * @param heartbeatInterval the time without a message after which a heartbeat is sent
	 * @param silentIntervals the number of heartbeat intervals without a byte after which
	 * a link ends
	 * @throws IllegalArgumentException if a value is out of its range
	 */
	public LinkSettings {
		Objects.requireNonNull(secret, "secret");
		requireThat(maximumFrameBytes >= HandshakeHandler.MAXIMUM_FRAME_BYTES, "maximumFrameBytes is too small");
		requireThat(maximumPendingBytes > maximumFrameBytes, "maximumPendingBytes holds less than one frame");
		requireThat(maximumLinks > 0, "maximumLinks is not positive");
		requireThat(handshakeTimeout.toMillis() > 0, "handshakeTimeout is less than a millisecond");
		requireThat(heartbeatInterval.toMillis() > 0, "heartbeatInterval is less than a millisecond");
		requireThat(silentIntervals >= MINIMUM_SILENT_INTERVALS, "silentIntervals is too small");
	}

	/**
	 * Returns settings with the standard limits and times.
	 * @param secret the secret that all processes share
	 * @return the settings
	 */
	public static LinkSettings standard(LinkSecret secret) {
		return new LinkSettings(secret, STANDARD_FRAME_BYTES, STANDARD_PENDING_BYTES, STANDARD_LINKS,
				STANDARD_HANDSHAKE_TIMEOUT, STANDARD_HEARTBEAT_INTERVAL, MINIMUM_SILENT_INTERVALS);
	}

	private static void requireThat(boolean condition, String problem) {
		if (!condition) {
			throw new IllegalArgumentException(problem);
		}
	}

}
