package io.lentilslip.client.vmlist;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.lentilslip.client.Endpoints;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.StandInServer;
import io.lentilslip.standin.vmlist.ListedVm;
import io.lentilslip.standin.vmlist.VmListStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class VmListTests {

	private static final ListedVm FIRST = ListedVm.live("runner-1", "127.0.0.1", "hala-tulcea");

	private static final ListedVm SECOND = ListedVm.live("runner-2", "127.0.0.2", "hala-galati");

	private final AtomicLong nanos = new AtomicLong();

	private final VmListStandIn standIn = VmListStandIn.start(StandInServer.ANY_PORT, this.nanos::get);

	private final VmList list = new VmList.ForHttp(Endpoints.of(this.standIn.address()));

	@AfterEach
	void stop() {
		this.list.close();
		this.standIn.close();
	}

	@Test
	void readsLiveAndLeavingVms() {
		this.standIn.setVms(List.of(FIRST, SECOND.leaving()));
		assertThat(read())
			.isEqualTo(new VmListOutcome.Listed(1, List.of(vm("runner-1", "127.0.0.1", "hala-tulcea", Vm.State.LIVE),
					vm("runner-2", "127.0.0.2", "hala-galati", Vm.State.LEAVING))));
	}

	// A VM begins to leave, and the list says so three seconds later. Until
	// then it is listed as live, which its readers have to be ready for.
	@Test
	void changesShowAfterTheLag() {
		this.standIn.setVms(List.of(FIRST));
		this.standIn.setLag(Duration.ofSeconds(3));
		this.standIn.setVms(List.of(FIRST.leaving()));
		this.nanos.addAndGet(Duration.ofSeconds(3).toNanos() - 1);
		assertThat(firstState()).isEqualTo(Vm.State.LIVE);
		this.nanos.incrementAndGet();
		assertThat(firstState()).isEqualTo(Vm.State.LEAVING);
	}

	// One line of the list is faulty. Without it the list would look as if that
	// VM were gone, so nothing of the list is taken.
	@Test
	void aListWithAFaultyLineIsUnavailable() {
		List<ListedVm> faulty = List.of(new ListedVm("runner-2", "127.0.0.2", "zone", "asleep"),
				ListedVm.live("no name", "127.0.0.2", "zone"), ListedVm.live("runner-2", "localhost", "zone"), FIRST);
		for (ListedVm vm : faulty) {
			this.standIn.setVms(List.of(FIRST, vm));
			assertThat(read()).isEqualTo(new VmListOutcome.Unavailable("unreadable answer"));
		}
	}

	@Test
	void aListThatIsDownIsUnavailable() {
		this.standIn.setAvailability(new Availability.Refusing());
		assertThat(read()).isEqualTo(new VmListOutcome.Unavailable("status 503"));
		this.standIn.setAvailability(new Availability.Dropping());
		assertThat(read()).isInstanceOf(VmListOutcome.Unavailable.class);
		this.standIn.close();
		assertThat(read()).isInstanceOf(VmListOutcome.Unavailable.class);
	}

	private Vm.State firstState() {
		return ((VmListOutcome.Listed) read()).vms().getFirst().state();
	}

	private VmListOutcome read() {
		return this.list.read().toCompletableFuture().join();
	}

	private static Vm vm(String name, String address, String zone, Vm.State state) {
		return new Vm(new VmName(name), address, new ZoneName(zone), state);
	}

}
