package io.lentilslip.client.http;

import java.io.IOException;

import okhttp3.Interceptor;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.ForwardingSource;
import okio.Okio;

/**
 * An interceptor that tells the socket of a call which bytes were a part of a body. Safe
 * for use by several threads.
 */
final class AnswerProgress implements Interceptor {

	@Override
	public Response intercept(Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		if (!(chain.connection().socket() instanceof BoundedSocket socket)) {
			throw new IllegalStateException("the socket does not bound what is read");
		}
		ResponseBody body = response.body();
		ForwardingSource source = new ForwardingSource(body.source()) {

			@Override
			public long read(Buffer sink, long byteCount) throws IOException {
				long read = super.read(sink, byteCount);
				socket.progressed();
				return read;
			}

		};
		return response.newBuilder()
			.body(ResponseBody.create(Okio.buffer(source), body.contentType(), body.contentLength()))
			.build();
	}

}
