package io.lentilslip.runtime.membership;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.lentilslip.client.vmlist.Vm;
import io.lentilslip.client.vmlist.VmList;
import io.lentilslip.client.vmlist.VmListOutcome;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.runtime.loop.MonotonicClock;

/**
 * Reads the platform's list of VMs at an interval and tells each list that could be read,
 * also an unchanged one: how old the last one is belongs to what the reducer weighs. One
 * read is under way at a time. Safe for use by several threads.
 */
public final class VmListFollower implements AutoCloseable {

	private final VmList list;

	private final Consumer<NodeEvent.VmListRead> events;

	private final MonotonicClock clock;

	private final AtomicBoolean reading = new AtomicBoolean();

	private final ScheduledFuture<?> schedule;

	private VmListFollower(VmList list, Duration interval, Consumer<NodeEvent.VmListRead> events, MonotonicClock clock,
			ScheduledExecutorService scheduler) {
		this.list = list;
		this.events = events;
		this.clock = clock;
		this.schedule = scheduler.scheduleWithFixedDelay(this::read, 0, interval.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Starts a follower.
	 * @param list the list
	 * @param interval the time between two reads
	 * @param events where the lists go; must not block
	 * @param clock the clock
	 * @param scheduler what runs the reads
	 * @return the follower
	 */
	public static VmListFollower start(VmList list, Duration interval, Consumer<NodeEvent.VmListRead> events,
			MonotonicClock clock, ScheduledExecutorService scheduler) {
		return new VmListFollower(list, interval, events, clock, scheduler);
	}

	private void read() {
		if (!this.reading.compareAndSet(false, true)) {
			return;
		}
		this.list.read().whenComplete((outcome, failure) -> {
			this.reading.set(false);
			if (outcome instanceof VmListOutcome.Listed listed) {
				tell(listed.vms());
			}
		});
	}

	private void tell(List<Vm> vms) {
		this.events.accept(
				new NodeEvent.VmListRead(names(vms, Vm.State.LIVE), names(vms, Vm.State.LEAVING), this.clock.now()));
	}

	private static Set<VmName> names(List<Vm> vms, Vm.State state) {
		return vms.stream().filter((vm) -> vm.state() == state).map(Vm::name).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Ends the reads.
	 */
	@Override
	public void close() {
		this.schedule.cancel(false);
	}

}
