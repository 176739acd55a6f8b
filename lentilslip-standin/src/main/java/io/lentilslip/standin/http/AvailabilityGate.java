package io.lentilslip.standin.http;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.StatusCode;

/**
 * A gate before the routes of a stand-in that lets requests pass according to an
 * {@link Availability}. Safe for use by several threads.
 */
public final class AvailabilityGate {

	/**
	 * The path of the control call that changes the availability.
	 */
	public static final String CONTROL_PATH = "/control/availability";

	private final StandInServer server;

	private volatile Availability availability = new Availability.Up();

	private AvailabilityGate(StandInServer server) {
		this.server = server;
	}

	/**
	 * Creates an open gate and the control call that changes it.
	 * @param application the application of the stand-in
	 * @param server the server of the stand-in
	 * @return the gate
	 */
	public static AvailabilityGate install(Jooby application, StandInServer server) {
		AvailabilityGate gate = new AvailabilityGate(server);
		application.post(CONTROL_PATH, gate::control);
		return gate;
	}

	/**
	 * Changes how requests that arrive from now on are taken.
	 * @param availability the new state
	 */
	public void set(Availability availability) {
		this.availability = availability;
	}

	/**
	 * Returns a handler behind this gate.
	 * @param handler what answers requests that pass
	 * @return the handler to install
	 */
	public Route.Handler before(Answering handler) {
		return (context) -> {
			switch (this.availability) {
				case Availability.Up up -> handler.answer(context);
				case Availability.Slow slow -> this.server.after(slow.delay(), () -> handler.answer(context));
				case Availability.Refusing refusing ->
					Json.sendError(context, StatusCode.SERVICE_UNAVAILABLE, "not available");
				case Availability.Dropping dropping -> this.server.reset(context);
			}
			return context;
		};
	}

	private Context control(Context context) {
		return Json.read(context).flatMap(Availability::parse).map((wanted) -> {
			set(wanted);
			return context.send(StatusCode.NO_CONTENT);
		})
			.orElseGet(() -> Json.sendError(context, StatusCode.BAD_REQUEST,
					"availability must be up, slow (with delay_ms), refusing or dropping"));
	}

	/**
	 * A function that answers one request, now or later, without blocking.
	 */
	@FunctionalInterface
	public interface Answering {

		/**
		 * Answers a request.
		 * @param context the request
		 */
		void answer(Context context);

	}

}
