package io.lentilslip.standin.vmlist;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.AvailabilityGate;
import io.lentilslip.standin.http.Json;
import io.lentilslip.standin.http.StandInServer;

/**
 * A list of VMs for tests and the demonstration, whose changes show only after a lag.
 * Changes show in their order, each after the lag in force when it was made. At most
 * {@value #MAXIMUM_PENDING} of them wait. Safe for use by several threads.
 */
public final class VmListStandIn implements AutoCloseable {

	private static final int MAXIMUM_PENDING = 1000;

	private static final String CONTROL_PATH = "/control/vms";

	private final Deque<Change> pending = new ArrayDeque<>();

	private final LongSupplier nanoClock;

	private final StandInServer server;

	private AvailabilityGate gate;

	private Duration lag = Duration.ZERO;

	private long lastVersion;

	private Listing shown = new Listing(0, List.of());

	private VmListStandIn(int port, LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.server = StandInServer.start(port, this::install);
	}

	/**
	 * Starts an empty list on a free port, without a lag.
	 * @return the stand-in, which listens already
	 */
	public static VmListStandIn start() {
		return start(StandInServer.ANY_PORT, System::nanoTime);
	}

	/**
	 * Starts an empty list without a lag.
	 * @param port the port, or {@link StandInServer#ANY_PORT}
	 * @param nanoClock a clock in nanoseconds that never goes back, for the lag
	 * @return the stand-in, which listens already
	 */
	public static VmListStandIn start(int port, LongSupplier nanoClock) {
		return new VmListStandIn(port, nanoClock);
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
	 * Changes the time after which changes made from now on show.
	 * @param lag the time
	 */
	public synchronized void setLag(Duration lag) {
		this.lag = lag;
	}

	/**
	 * Replaces the list, to show after the lag.
	 * @param vms the VMs
	 * @throws IllegalStateException if too many changes wait to show
	 */
	public synchronized void setVms(List<ListedVm> vms) {
		if (this.pending.size() >= MAXIMUM_PENDING) {
			throw new IllegalStateException(MAXIMUM_PENDING + " changes wait to show");
		}
		this.lastVersion++;
		this.pending.addLast(new Change(new Listing(this.lastVersion, List.copyOf(vms)),
				this.nanoClock.getAsLong() + this.lag.toNanos()));
		showDueChanges();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private synchronized Listing showDueChanges() {
		long now = this.nanoClock.getAsLong();
		while (!this.pending.isEmpty() && this.pending.getFirst().showsAt() - now <= 0) {
			this.shown = this.pending.removeFirst().listing();
		}
		return this.shown;
	}

	private void install(Jooby application, StandInServer running) {
		this.gate = AvailabilityGate.install(application, running);
		application.get("/v1/vms", this.gate.before((context) -> Json.send(context, showDueChanges())));
		application.post(CONTROL_PATH, this::control);
	}

	private Context control(Context context) {
		Optional<List<ListedVm>> vms = Json.read(context).flatMap(VmListStandIn::parse);
		if (vms.isEmpty()) {
			return Json.sendError(context, StatusCode.BAD_REQUEST,
					"vms must be a list of objects with name, address, zone and state");
		}
		setVms(vms.get());
		return context.send(StatusCode.NO_CONTENT);
	}

	private static Optional<List<ListedVm>> parse(JsonNode control) {
		JsonNode list = control.path("vms");
		if (!list.isArray()) {
			return Optional.empty();
		}
		List<ListedVm> vms = new ArrayList<>(list.size());
		for (JsonNode vm : list) {
			if (!vm.hasNonNull("name") || !vm.hasNonNull("address") || !vm.hasNonNull("zone")
					|| !vm.hasNonNull("state")) {
				return Optional.empty();
			}
			vms.add(new ListedVm(vm.get("name").asText(), vm.get("address").asText(), vm.get("zone").asText(),
					vm.get("state").asText()));
		}
		return Optional.of(vms);
	}

	/**
	 * A list as answers hold it.
	 *
	 * @param version a number that grows with each change
	 * @param vms the VMs
	 */
	private record Listing(long version, List<ListedVm> vms) {

	}

	/**
	 * A list that will show.
	 *
	 * @param listing the list
	 * @param showsAt the time from which it shows
	 */
	private record Change(Listing listing, long showsAt) {

	}

}
