package io.lentilslip.client.vmlist;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import io.lentilslip.client.http.Exchange;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.client.http.JsonAnswers;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import okhttp3.HttpUrl;
import okhttp3.Request;

/**
 * The platform's list of VMs. It lags behind reality: a VM that is missing may run, and
 * one that is listed may be gone. Stages always complete, and never exceptionally.
 * Implementations are safe for use by several threads.
 */
public interface VmList extends AutoCloseable {

	/**
	 * Reads the list.
	 * @return how the read ended
	 */
	CompletionStage<VmListOutcome> read();

	@Override
	void close();

	/**
	 * A list of VMs that is reached by HTTP. Safe for use by several threads.
	 */
	final class ForHttp implements VmList {

		private static final int OK = 200;

		private final HttpUrl url;

		private final HttpSender sender;

		/**
		 * Creates a client with the usual limits.
		 * @param service where the list is served
		 */
		public ForHttp(Endpoint service) {
			this(service, HttpLimits.defaults());
		}

		/**
		 * Creates a client.
		 * @param service where the list is served
		 * @param limits the bounds of a read
		 */
		public ForHttp(Endpoint service, HttpLimits limits) {
			this.url = HttpUrl.get("http://" + service + "/v1/vms");
			this.sender = new HttpSender(limits);
		}

		@Override
		public CompletionStage<VmListOutcome> read() {
			return this.sender.send(new Request.Builder().url(this.url)).thenApply(ForHttp::outcome);
		}

		@Override
		public void close() {
			this.sender.close();
		}

		private static VmListOutcome outcome(Exchange exchange) {
			if (exchange instanceof Exchange.Unanswered unanswered) {
				return new VmListOutcome.Unavailable(unanswered.reason());
			}
			Exchange.Answered answer = (Exchange.Answered) exchange;
			if (answer.status() != OK) {
				return new VmListOutcome.Unavailable("status " + answer.status());
			}
			return JsonAnswers.read(answer, ListBody.class)
				.flatMap(ListBody::toOutcome)
				.orElseGet(() -> new VmListOutcome.Unavailable("unreadable answer"));
		}

		/**
		 * The body of an answer.
		 *
		 * @param version the version of the list
		 * @param vms the VMs
		 */
		private record ListBody(long version, List<VmBody> vms) {

			/**
			 * Returns the list if every VM in it can be read. Of a list with a faulty
			 * line nothing is taken: a VM left out would pass for one that is gone.
			 * @return the list, or an empty result
			 */
			Optional<VmListOutcome> toOutcome() {
				List<Vm> values = new ArrayList<>(this.vms.size());
				Set<VmName> names = new HashSet<>();
				for (VmBody body : this.vms) {
					Optional<Vm> vm = Optional.ofNullable(body).flatMap(VmBody::toVm);
					if (vm.isEmpty() || !names.add(vm.get().name())) {
						return Optional.empty();
					}
					values.add(vm.get());
				}
				return Optional.of(new VmListOutcome.Listed(this.version, values));
			}

		}

		/**
		 * A VM in the body of an answer.
		 *
		 * @param name the name of the VM
		 * @param address its numeric IP address
		 * @param zone its availability zone
		 * @param state {@code live} or {@code leaving}
		 */
		private record VmBody(String name, String address, String zone, String state) {

			Optional<Vm> toVm() {
				Optional<Vm.State> stated = parseState();
				if (stated.isEmpty()) {
					return Optional.empty();
				}
				try {
					return Optional
						.of(new Vm(new VmName(this.name), this.address, new ZoneName(this.zone), stated.get()));
				}
				catch (IllegalArgumentException ex) {
					return Optional.empty();
				}
			}

			private Optional<Vm.State> parseState() {
				return switch (this.state) {
					case "live" -> Optional.of(Vm.State.LIVE);
					case "leaving" -> Optional.of(Vm.State.LEAVING);
					default -> Optional.empty();
				};
			}

		}

	}

}
