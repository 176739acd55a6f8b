package io.lentilslip.standin.http;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;

/**
 * A number of faults that are still to be made, one for each request that asks. Safe for
 * use by several threads.
 */
public final class FaultCounter {

	private final AtomicInteger remaining = new AtomicInteger();

	/**
	 * Installs a control call that sets this counter by {@code {"count":3}}.
	 * @param application the application of the stand-in
	 * @param path the path of the control call
	 */
	public void install(Jooby application, String path) {
		application.post(path, this::control);
	}

	/**
	 * Sets how many faults are to be made.
	 * @param count the number of faults
	 */
	public void set(int count) {
		this.remaining.set(count);
	}

	/**
	 * Takes one fault.
	 * @return {@code true} if a fault is to be made now
	 */
	public boolean take() {
		return this.remaining.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

	private Context control(Context context) {
		Optional<JsonNode> count = Json.read(context).map((control) -> control.path("count"));
		if (count.filter(JsonNode::canConvertToInt).isEmpty()) {
			return Json.sendError(context, StatusCode.BAD_REQUEST, "count must be a whole number");
		}
		set(count.get().intValue());
		return context.send(StatusCode.NO_CONTENT);
	}

}
