package io.lentilslip.verification.process;

import java.net.InetSocketAddress;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/**
 * A caller of one group, who can send a request through any entry. Safe for use by
 * several threads.
 */
public final class Caller {

	private static final String CHAT = "/v1/chat/completions";

	private final String key;

	Caller(String key) {
		this.key = key;
	}

	/**
	 * Returns the key that the caller shows.
	 * @return the key
	 */
	public String key() {
		return this.key;
	}

	/**
	 * Calls a model and waits for the whole answer.
	 * @param entry the entry
	 * @param call the call
	 * @return the answer
	 */
	public HttpResponse<String> chat(RunningProcess entry, ChatCall call) {
		return Http.send(request(entry.work(), call, false));
	}

	/**
	 * Calls a model without waiting.
	 * @param entry the entry
	 * @param call the call
	 * @return the answer to come
	 */
	public CompletableFuture<HttpResponse<String>> begin(RunningProcess entry, ChatCall call) {
		return Http.CLIENT.sendAsync(request(entry.work(), call, false).build(), HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Calls a model with a streamed answer.
	 * @param entry the entry
	 * @param call the call
	 * @return the answer under way
	 */
	public StreamedAnswer stream(RunningProcess entry, ChatCall call) {
		return StreamedAnswer.of(request(entry.work(), call, true).build());
	}

	private HttpRequest.Builder request(InetSocketAddress entry, ChatCall call, boolean stream) {
		HttpRequest.Builder request = authorized(Http.request(entry, CHAT));
		call.headers().forEach(request::header);
		return request.POST(HttpRequest.BodyPublishers.ofString(call.body(stream)));
	}

	private HttpRequest.Builder authorized(HttpRequest.Builder request) {
		return request.header("Authorization", "Bearer " + this.key);
	}

	/**
	 * Calls the plain service of the site by POST, without waiting.
	 * @param entry the entry
	 * @param idempotencyKey the key of the request
	 * @param body the body
	 * @return the answer to come
	 */
	public CompletableFuture<HttpResponse<String>> beginService(RunningProcess entry, String idempotencyKey,
			String body) {
		HttpRequest request = authorized(Http.request(entry.work(), "/v1/services/" + Site.SERVICE + "/pings"))
			.header("Idempotency-Key", idempotencyKey)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return Http.CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Calls the plain service of the site by POST.
	 * @param entry the entry
	 * @param idempotencyKey the key of the request
	 * @param body the body
	 * @return the answer
	 */
	public HttpResponse<String> service(RunningProcess entry, String idempotencyKey, String body) {
		return beginService(entry, idempotencyKey, body).join();
	}

	/**
	 * Returns what an entry shows of a program.
	 * @param entry the entry
	 * @param program the program
	 * @return the answer
	 */
	public HttpResponse<String> show(RunningProcess entry, String program) {
		return Http.send(authorized(Http.request(entry.work(), "/v1/programs/" + program)).GET());
	}

	/**
	 * Ends a program.
	 * @param entry the entry
	 * @param program the program
	 * @return the answer
	 */
	public HttpResponse<String> end(RunningProcess entry, String program) {
		return Http.send(authorized(Http.request(entry.work(), "/v1/programs/" + program)).DELETE());
	}

}
