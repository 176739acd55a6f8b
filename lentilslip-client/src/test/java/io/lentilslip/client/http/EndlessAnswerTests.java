package io.lentilslip.client.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.HttpUrl;
import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of services that send bytes without end until the connection is closed.
 */
class EndlessAnswerTests {

	/**
	 * More than is kept of any answer.
	 */
	private static final long FLOOD_BYTES = 64L * 1024 * 1024;

	private static final int BLOCK_BYTES = 16 * 1024;

	private static final Duration LONG = Duration.ofSeconds(60);

	private final HttpSender sender = new HttpSender(HttpLimits.defaults().withTimeouts(LONG, LONG));

	@AfterEach
	void close() {
		this.sender.close();
	}

	// Guards against bytes that the library keeps although they are no part of a body.
	@ParameterizedTest
	@EnumSource
	void connectionIsClosedAndTheRequestMayHaveRun(Flood flood) throws Exception {
		try (ServerSocket service = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			HttpUrl url = HttpUrl.get("http://127.0.0.1:" + service.getLocalPort() + "/endless");
			CompletableFuture<Exchange> outcome = this.sender.send(new Request.Builder().url(url))
				.toCompletableFuture();
			try (Socket connection = service.accept()) {
				byte[] request = new byte[1024];
				assertThat(connection.getInputStream().read(request)).isPositive();
				assertThat(writeUntilClosed(connection, flood)).isLessThan(FLOOD_BYTES);
			}
			assertThat(outcome.get(60, TimeUnit.SECONDS)).isInstanceOfSatisfying(Exchange.Unanswered.class,
					(unanswered) -> assertThat(unanswered.transmission()).isEqualTo(Transmission.MAY_HAVE_BEEN_SENT));
		}
	}

	private static long writeUntilClosed(Socket connection, Flood flood) throws IOException {
		connection.setSendBufferSize(64 * 1024);
		byte[] block = bytes(flood.repeated.repeat(BLOCK_BYTES / flood.repeated.length()));
		long written = 0;
		try {
			connection.getOutputStream().write(bytes(flood.start));
			while (written < FLOOD_BYTES) {
				connection.getOutputStream().write(block);
				written += block.length;
			}
		}
		catch (IOException ex) {
			// Closed by the sender.
		}
		return written;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	/**
	 * A form of bytes without end.
	 */
	enum Flood {

		/**
		 * A status line.
		 */
		STATUS_LINE("HTTP/1.1 200 ", "x"),

		/**
		 * Fields of a head.
		 */
		FIELDS("HTTP/1.1 200 OK\r\n", "A: b\r\n"),

		/**
		 * One field of a head.
		 */
		FIELD("HTTP/1.1 200 OK\r\nA: ", "x"),

		/**
		 * Informational answers.
		 */
		INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n"),

		/**
		 * A body without a length.
		 */
		BODY("HTTP/1.1 200 OK\r\n\r\n", "x"),

		/**
		 * Chunks of a body.
		 */
		CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),

		/**
		 * The size of a chunk.
		 */
		CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),

		/**
		 * The extension of a chunk.
		 */
		CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),

		/**
		 * Bytes after a chunk.
		 */
		CHUNK_END("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx", "x"),

		/**
		 * Trailers after the last chunk.
		 */
		TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n");

		private final String start;

		private final String repeated;

		Flood(String start, String repeated) {
			this.start = start;
			this.repeated = repeated;
		}

	}

}
