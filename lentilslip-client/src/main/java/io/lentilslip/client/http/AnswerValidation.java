package io.lentilslip.client.http;

import java.io.IOException;

import io.lentilslip.core.http.ResponseSyntax;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Protocol;
import okhttp3.Response;

/**
 * An interceptor that fails calls whose answers are not valid. The library takes any
 * status of three digits, any names and values of fields, and lengths that are none. Safe
 * for use by several threads.
 */
final class AnswerValidation implements Interceptor {

	@Override
	public Response intercept(Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		if (!ResponseSyntax.isFinalStatus(response.code()) || !ResponseSyntax.isReason(response.message())) {
			throw new InvalidAnswerException("the status line is not valid; its status is " + response.code());
		}
		if (!hasValidFields(response.headers())) {
			throw new InvalidAnswerException("a field is not valid");
		}
		if (!ResponseSyntax.isFramed(response.headers("Content-Length"), response.headers("Transfer-Encoding"),
				response.protocol() != Protocol.HTTP_1_0)) {
			throw new InvalidAnswerException("the body is not framed in one way");
		}
		return response;
	}

	private static boolean hasValidFields(Headers fields) {
		for (int i = 0; i < fields.size(); i++) {
			if (!ResponseSyntax.isField(fields.name(i), fields.value(i))) {
				return false;
			}
		}
		return true;
	}

}
