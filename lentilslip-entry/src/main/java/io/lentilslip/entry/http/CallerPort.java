package io.lentilslip.entry.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.entry.EntryEffect;

/**
 * The port by which callers reach an entry. What callers ask becomes events; the effects
 * of {@link EntryEffect.Deliver}, {@link EntryEffect.Complete} and
 * {@link EntryEffect.SendProgramState} become answers. Safe for use by several threads;
 * no method but {@link #close()} blocks.
 */
public final class CallerPort implements AutoCloseable {

	private final OpenCalls calls;

	private final HttpPort port;

	private CallerPort(OpenCalls calls, HttpPort port) {
		this.calls = calls;
		this.port = port;
	}

	/**
	 * Opens the port.
	 * @param endpoint the address to listen on, with port 0 for a free one
	 * @param limits the bounds of its memory and times, asked again for new connections
	 * and calls
	 * @param threads the number of threads
	 * @param desk what the requests need of the entry
	 * @return the port, which listens already
	 */
	public static CallerPort open(Endpoint endpoint, Supplier<HttpLimits> limits, int threads, CallerDesk desk) {
		OpenCalls calls = new OpenCalls(() -> limits.get().openCalls());
		HttpPort port = HttpPort.open(endpoint, limits, threads, new CallerRoutes(desk, calls));
		return new CallerPort(calls, port);
	}

	/**
	 * Returns the address that this port listens on.
	 * @return the address with the port in use
	 */
	public InetSocketAddress address() {
		return this.port.address();
	}

	/**
	 * Gives a caller the next part of its answer.
	 * @param effect the part
	 */
	public void run(EntryEffect.Deliver effect) {
		this.calls.with(effect.ticket(), (call) -> call.deliver(effect.text()));
	}

	/**
	 * Gives a caller the end of its request.
	 * @param effect the end
	 */
	public void run(EntryEffect.Complete effect) {
		this.calls.end(effect.ticket(), (call) -> call.complete(effect.outcome()));
	}

	/**
	 * Gives a caller the state of a program.
	 * @param effect the state
	 */
	public void run(EntryEffect.SendProgramState effect) {
		this.calls.end(effect.ticket(), (call) -> call.show(effect.view()));
	}

	/**
	 * Returns the number of requests that wait for their answers.
	 * @return the number of requests
	 */
	public int openCalls() {
		return this.calls.size();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	public int connections() {
		return this.port.connections();
	}

	/**
	 * Ends the connections that carry no request, and the others after their answers.
	 */
	public void drain() {
		this.port.drain();
	}

	/**
	 * Takes no further connections and ends those that are open after their answers.
	 * @return a stage that completes once no connection is left
	 */
	public CompletableFuture<Void> finish() {
		return this.port.finish();
	}

	@Override
	public void close() {
		this.port.close();
	}

}
