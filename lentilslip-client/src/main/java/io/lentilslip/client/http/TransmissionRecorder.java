package io.lentilslip.client.http;

import java.io.IOException;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;

/**
 * A listener that records whether anything of one call's request was handed to a
 * connection. One recorder belongs to one call. The record only moves from
 * {@link Transmission#NEVER_SENT} to {@link Transmission#MAY_HAVE_BEEN_SENT}. Safe for
 * use by several threads.
 */
public final class TransmissionRecorder extends EventListener {

	private volatile Transmission transmission = Transmission.NEVER_SENT;

	private volatile boolean writeFailed;

	private TransmissionRecorder() {
	}

	/**
	 * Creates a recorder and attaches it to a request that is being built.
	 * @param request the request, to be sent by a client with {@link #factory()}
	 * @return the recorder of the call that will send this request
	 */
	public static TransmissionRecorder attachTo(Request.Builder request) {
		TransmissionRecorder recorder = new TransmissionRecorder();
		request.tag(TransmissionRecorder.class, recorder);
		return recorder;
	}

	/**
	 * Returns the factory by which a client finds each call's recorder.
	 * @return a factory that gives calls without a recorder a listener that does nothing
	 */
	public static EventListener.Factory factory() {
		return (call) -> {
			TransmissionRecorder recorder = call.request().tag(TransmissionRecorder.class);
			return (recorder != null) ? recorder : EventListener.NONE;
		};
	}

	/**
	 * Returns how far the request came. {@link Transmission#NEVER_SENT} is final only
	 * once the call has ended: the callbacks of a call run on the thread that sends, so
	 * nothing is sent after {@code onFailure} began.
	 * @return what was recorded until now
	 */
	public Transmission transmission() {
		return this.transmission;
	}

	/**
	 * Returns whether a write of the request has failed. The library reads the response
	 * nevertheless.
	 * @return whether a write has failed
	 */
	boolean writeFailed() {
		return this.writeFailed;
	}

	@Override
	public void requestFailed(Call call, IOException ex) {
		this.writeFailed = true;
	}

	/**
	 * Records that the request may have been sent. This comes before the first byte is
	 * written: a failure half-way through the headers would else pass for a request that
	 * never left, and be sent a second time. Errors while connecting come before it.
	 * @param call the call that begins to write its headers
	 */
	@Override
	public void requestHeadersStart(Call call) {
		this.transmission = Transmission.MAY_HAVE_BEEN_SENT;
	}

}
