package io.lentilslip.runtime.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;

import io.lentilslip.client.vmlist.VmList;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.standin.vmlist.ListedVm;
import io.lentilslip.standin.vmlist.VmListStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class VmListFollowerTests {

	@Test
	void listIsToldWithItsLeavingVms() throws InterruptedException {
		BlockingQueue<NodeEvent.VmListRead> events = new LinkedBlockingQueue<>();
		try (VmListStandIn vms = VmListStandIn.start();
				VmList client = new VmList.ForHttp(new Endpoint("127.0.0.1", vms.address().getPort()));
				ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor()) {
			vms.setVms(List.of(ListedVm.live("vm-1", "10.0.0.1", "north"),
					ListedVm.live("vm-2", "10.0.0.2", "north").leaving()));
			VmListFollower follower = VmListFollower.start(client, Duration.ofMillis(1), events::add,
					() -> Instant.EPOCH, scheduler);
			assertThat(events.take()).isEqualTo(
					new NodeEvent.VmListRead(Set.of(new VmName("vm-1")), Set.of(new VmName("vm-2")), Instant.EPOCH));
			follower.close();
		}
	}

}
