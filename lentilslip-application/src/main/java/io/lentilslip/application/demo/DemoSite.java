package io.lentilslip.application.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import io.lentilslip.application.role.RunningRole;
import io.lentilslip.client.log.LogService;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.entry.EntryStatus;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.runtime.configuration.Base;
import io.lentilslip.runtime.configuration.ConfigurationPublisher;
import io.lentilslip.runtime.configuration.PublicationOutcome;
import io.lentilslip.runtime.loop.Pause;
import io.lentilslip.runtime.loop.SeedSource;
import io.lentilslip.settings.folder.ConfigurationReader;
import io.lentilslip.settings.process.EntrySettings;
import io.lentilslip.settings.process.LogSettings;
import io.lentilslip.settings.process.MemoryBounds;
import io.lentilslip.settings.process.PlatformAddresses;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.settings.process.SidecarSettings;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.standin.vmlist.ListedVm;
import io.lentilslip.standin.vmlist.VmListStandIn;

/**
 * The example site in this Java process: stand-ins, a sidecar beside each upstream and
 * one entry, all on free ports of this machine. The addresses in the folder are replaced
 * by one more file at its end, as an operator would do it. Parts are closed in the
 * reverse order of their start. Started and closed by one thread; what it tells may be
 * asked by several.
 */
final class DemoSite implements AutoCloseable {

	private static final String OVERRIDE = "99-demo.ini";

	private static final VmName ENTRY = new VmName("entry-1");

	private static final Duration READY_TIME = Duration.ofSeconds(30);

	private final Deque<AutoCloseable> parts = new ArrayDeque<>();

	private final Upstreams upstreams = new Upstreams();

	private final List<RunningRole.Sidecar> sidecars = new ArrayList<>();

	private final Configuration configuration;

	private final PlatformAddresses platform;

	private final Path secret;

	private final RunningRole.Entry entry;

	private DemoSite() throws DemoException, InterruptedException, IOException {
		try {
			this.secret = secretFile();
			LogServiceStandIn log = opened(LogServiceStandIn.start());
			VmListStandIn vms = opened(VmListStandIn.start());
			this.platform = new PlatformAddresses(Loopback.endpoint(log.address()), Loopback.endpoint(vms.address()),
					Loopback.ANY_PORT);
			opened(this.upstreams);
			ExampleFolder folder = ExampleFolder.bundled();
			Configuration example = ConfigurationReader.read(folder.source())
				.getOrElseThrow((problems) -> new DemoException("the example folder has problems: " + problems));
			ExampleFolder here = folder.with(OVERRIDE, startUpstreams(example, vms));
			this.configuration = publish(here);
			this.entry = opened(RunningRole.Entry
				.start(new EntrySettings(process(ENTRY, example.zones().iterator().next()), Loopback.ANY_PORT)));
			awaitReady();
		}
		catch (DemoException | InterruptedException | IOException | RuntimeException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Starts the site.
	 * @return the site, whose entry is linked to all sidecars
	 * @throws DemoException if a part of it does not start
	 * @throws InterruptedException if the thread is interrupted
	 */
	static DemoSite start() throws DemoException, InterruptedException {
		try {
			return new DemoSite();
		}
		catch (IOException ex) {
			throw new DemoException("the site can't start: " + ex, ex);
		}
	}

	private <T extends AutoCloseable> T opened(T part) {
		this.parts.push(part);
		return part;
	}

	private Path secretFile() throws IOException {
		Path file = Files.createTempFile("lentilslip-demo", ".secret");
		opened(() -> Files.deleteIfExists(file));
		return Files.writeString(file, UUID.randomUUID().toString());
	}

	private String startUpstreams(Configuration example, VmListStandIn vms) throws DemoException, IOException {
		StringBuilder override = new StringBuilder("# Addresses of this run.\n");
		List<ListedVm> listed = new ArrayList<>();
		for (UpstreamPolicy policy : example.upstreams()) {
			Endpoint address = this.upstreams.start(policy);
			RunningRole.Sidecar sidecar = opened(
					RunningRole.Sidecar.start(new SidecarSettings(process(policy.vm(), policy.zone()), address)));
			this.sidecars.add(sidecar);
			listed.add(ListedVm.live(policy.vm().value(), address.ip(), policy.zone().value()));
			override.append("[upstream ").append(policy.vm()).append("]\n");
			override.append("sidecar = ").append(Loopback.endpoint(sidecar.process().linkPort())).append('\n');
			override.append("address = ").append(address).append('\n');
		}
		vms.setVms(listed);
		return override.toString();
	}

	private ProcessSettings process(VmName vm, ZoneName zone) {
		return new ProcessSettings(vm, zone, Loopback.ANY_PORT, Loopback.ANY_PORT, this.secret, this.platform,
				LogSettings.DEFAULT, MemoryBounds.DEFAULT);
	}

	private Configuration publish(ExampleFolder folder) throws DemoException, InterruptedException {
		try (LogService log = new LogService.ForHttp(this.platform.logService())) {
			PublicationOutcome outcome = new ConfigurationPublisher(log, SeedSource.ofSystem(), Pause.ofThread())
				.publish(folder.source(), new Base.Newest(), UUID.randomUUID());
			if (!(outcome instanceof PublicationOutcome.Won)) {
				throw new DemoException("the example folder was not published: " + outcome);
			}
		}
		return ConfigurationReader.read(folder.source()).get();
	}

	private void awaitReady() throws DemoException, InterruptedException {
		int expected = this.sidecars.size();
		boolean ready = Deadline.in(READY_TIME)
			.await(() -> linked() == expected
					&& this.sidecars.stream().allMatch((sidecar) -> sidecar.process().status().upstreamUp()));
		if (!ready) {
			throw new DemoException(
					linked() + " of " + expected + " sidecars were linked, and not all upstreams were up, " + "after "
							+ READY_TIME.toSeconds() + " s");
		}
	}

	private long linked() {
		return this.entry.process().status().upstreams().stream().filter(EntryStatus.Upstream::linked).count();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration of the example with this run's addresses
	 */
	Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Returns where callers connect.
	 * @return the address of the entry
	 */
	Endpoint callers() {
		return Loopback.endpoint(this.entry.process().callers());
	}

	/**
	 * Returns where operators see the entry.
	 * @return the admin port of the entry
	 */
	Endpoint entryAdmin() {
		return Loopback.endpoint(this.entry.process().admin());
	}

	/**
	 * Returns where operators see the sidecars.
	 * @return the admin ports of the sidecars
	 */
	List<Endpoint> sidecarAdmins() {
		return this.sidecars.stream().map((sidecar) -> Loopback.endpoint(sidecar.process().adminPort())).toList();
	}

	/**
	 * Returns where the log service listens.
	 * @return the address of the log stand-in
	 */
	Endpoint log() {
		return this.platform.logService();
	}

	/**
	 * Returns how often each call of a plain service ran.
	 * @return the number of runs by the calls' keys
	 */
	Map<String, Integer> toolRuns() {
		return this.upstreams.toolRuns();
	}

	/**
	 * Returns the tokens of engine memory that are held now.
	 * @return the tokens of all engines
	 */
	int heldTokens() {
		return this.upstreams.heldTokens();
	}

	@Override
	public void close() {
		while (!this.parts.isEmpty()) {
			closeLast();
		}
	}

	// A part that fails to close must not keep the others open.
	private void closeLast() {
		try {
			this.parts.pop().close();
		}
		catch (Exception ex) {
			System.getLogger(DemoSite.class.getName()).log(System.Logger.Level.WARNING, "a part did not close", ex);
		}
	}

}
