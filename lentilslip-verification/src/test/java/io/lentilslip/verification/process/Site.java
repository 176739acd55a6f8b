package io.lentilslip.verification.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.stream.StreamSupport;

import io.lentilslip.client.log.LogService;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.runtime.configuration.Base;
import io.lentilslip.runtime.configuration.ConfigurationPublisher;
import io.lentilslip.runtime.configuration.PublicationOutcome;
import io.lentilslip.runtime.loop.Pause;
import io.lentilslip.runtime.loop.SeedSource;
import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.standin.tool.ToolServiceStandIn;
import io.lentilslip.standin.vmlist.ListedVm;
import io.lentilslip.standin.vmlist.VmListStandIn;
import io.lentilslip.verification.fault.FaultProxy;

/**
 * A small site: the outside systems stand in the test's own process, entries and sidecars
 * are processes of their own. Between entries and each sidecar, and between each sidecar
 * and its upstream, is a proxy that brings faults about; the address that the
 * configuration names is the proxy's, and so outlives the sidecar. Used by one thread.
 */
public final class Site implements AutoCloseable {

	/**
	 * The model that the engines serve.
	 */
	public static final String MODEL = "writer";

	/**
	 * The plain service, none of whose calls may be repeated.
	 */
	public static final String SERVICE = "pings";

	private static final String KEY = "key-of-desk";

	private static final String ZONE = "hall";

	private static final InetSocketAddress NOWHERE = new InetSocketAddress("127.0.0.1", 1);

	private final Path folder;

	private final LogServiceStandIn log = LogServiceStandIn.start();

	private final VmListStandIn vms = VmListStandIn.start();

	private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();

	private final Map<String, ToolServiceStandIn> services = new LinkedHashMap<>();

	private final Map<String, FaultProxy> links = new LinkedHashMap<>();

	private final Map<String, FaultProxy> upstreams = new LinkedHashMap<>();

	private final Map<String, RunningProcess> processes = new LinkedHashMap<>();

	private final LogService logClient = new LogService.ForHttp(endpoint(this.log.address()));

	private int lives;

	private Site(Path folder) {
		this.folder = folder;
	}

	/**
	 * Starts a site and waits until it takes calls.
	 * @param folder a folder for settings and logs
	 * @param plan what stands in the site
	 * @return the site
	 */
	public static Site start(Path folder, SitePlan plan) {
		Site site = new Site(folder);
		try {
			site.open(plan);
			return site;
		}
		catch (RuntimeException | Error ex) {
			ex.addSuppressed(new AssertionError(site.logs()));
			site.close();
			throw ex;
		}
	}

	private void open(SitePlan plan) {
		writeSecret();
		for (int i = 1; i <= plan.engines(); i++) {
			EngineStandIn engine = EngineStandIn.start(plan.engine());
			this.engines.put("engine-" + i, engine);
			addUpstream("engine-" + i, engine.address());
		}
		for (int i = 1; i <= plan.services(); i++) {
			ToolServiceStandIn service = ToolServiceStandIn.start();
			this.services.put("service-" + i, service);
			addUpstream("service-" + i, service.address());
		}
		this.links.keySet().forEach(this::launchSidecar);
		for (int i = 1; i <= plan.entries(); i++) {
			launch(RunningProcess.ENTRY, "entry-" + i, "callers = 127.0.0.1:0", "");
		}
		this.processes.values().forEach(RunningProcess::awaitPorts);
		this.links.forEach((vm, proxy) -> proxy.retarget(this.processes.get(vm).work()));
		this.vms.setVms(listed());
		PublicationOutcome outcome = publish(configuration(""), new Base.Newest());
		if (!(outcome instanceof PublicationOutcome.Won)) {
			throw new AssertionError("the configuration of the site: " + outcome);
		}
		awaitReady();
	}

	private void addUpstream(String vm, InetSocketAddress address) {
		this.upstreams.put(vm, FaultProxy.to(address));
		this.links.put(vm, FaultProxy.to(NOWHERE));
	}

	private void launchSidecar(String vm) {
		launch(RunningProcess.SIDECAR, vm, "",
				"[upstream]\naddress = 127.0.0.1:" + this.upstreams.get(vm).address().getPort() + "\n");
	}

	private void launch(String role, String vm, String listen, String sections) {
		this.lives++;
		try {
			Path settings = Files.writeString(this.folder.resolve(vm + ".ini"),
					settings(vm, secret(), listen) + sections);
			this.processes.put(vm,
					RunningProcess.start(role, vm, settings, this.folder.resolve(vm + "-" + this.lives + ".log")));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Path secret() {
		return this.folder.resolve("secret");
	}

	// Once, before any process starts: one that reads it while it is written anew finds
	// an
	// empty file, and ends.
	private void writeSecret() {
		try {
			Files.writeString(secret(), "a secret of the tests");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String settings(String vm, Path secret, String listen) {
		return """
				[process]
				vm = %s
				zone = %s
				link_secret_file = %s

				[platform]
				log_service = 127.0.0.1:%d
				vm_list = 127.0.0.1:%d
				weight_store = 127.0.0.1:1

				[listen]
				links = 127.0.0.1:0
				admin = 127.0.0.1:0
				%s

				""".formatted(vm, ZONE, secret, this.log.address().getPort(), this.vms.address().getPort(), listen);
	}

	private List<ListedVm> listed() {
		return this.processes.keySet().stream().map((vm) -> ListedVm.live(vm, "127.0.0.1", ZONE)).toList();
	}

	/**
	 * Returns the text of the site's configuration.
	 * @param more further sections
	 * @return the text of its only file
	 */
	public String configuration(String more) {
		StringBuilder text = new StringBuilder("""
				[site]
				name = harbour
				zones = %s

				[limits]
				deadline_standard = 60s
				deadline_maximum = 2m
				drain_time = 2m

				[group desk]
				share = 1

				[caller desk-app]
				group = desk
				key_sha256 = %s

				""".formatted(ZONE, sha256(KEY)));
		if (!this.engines.isEmpty()) {
			text.append("[model " + MODEL + "]\ncontext_tokens = 32768\nmaximum_output_tokens = 8192\n\n");
		}
		if (!this.services.isEmpty()) {
			text.append("[service " + SERVICE + "]\ntimeout = 10s\n\n");
		}
		this.links.forEach((vm, proxy) -> text.append(upstream(vm, proxy)));
		return text.append(more).toString();
	}

	private String upstream(String vm, FaultProxy proxy) {
		String kind = this.engines.containsKey(vm)
				? "kind = engine\nmodels = " + MODEL + "\nchecks_fencing_numbers = true\nkv_tokens = 65536"
				: "kind = service\nservices = " + SERVICE;
		return """
				[upstream %s]
				zone = %s
				sidecar = 127.0.0.1:%d
				address = 127.0.0.1:%d
				maximum_calls = 16
				%s

				""".formatted(vm, ZONE, proxy.address().getPort(), this.upstreams.get(vm).address().getPort(), kind);
	}

	/**
	 * Publishes a configuration as an operator does.
	 * @param text the text of its only file
	 * @param base the version it was made from
	 * @return what came of it
	 */
	public PublicationOutcome publish(String text, Base base) {
		ConfigurationFile file = new ConfigurationFile("10-site.ini", text.getBytes(StandardCharsets.UTF_8));
		try {
			return new ConfigurationPublisher(this.logClient, SeedSource.ofSystem(), Pause.ofThread())
				.publish(new ConfigurationSource(List.of(file)), base, UUID.randomUUID());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
	}

	private void awaitReady() {
		this.processes.forEach((vm, process) -> Waiting.until("readiness of " + vm, process::isHealthy));
		entries().forEach((entry) -> this.links.keySet().forEach((vm) -> awaitLinked(entry, vm)));
	}

	/**
	 * Waits until an entry is linked to a sidecar.
	 * @param entry the entry
	 * @param vm the VM of the sidecar
	 */
	public void awaitLinked(RunningProcess entry, String vm) {
		Waiting.until("a link from " + entry.vm() + " to " + vm, () -> StreamSupport
			.stream(entry.status().path("upstreams").spliterator(), false)
			.anyMatch((upstream) -> upstream.path("vm").asText().equals(vm) && upstream.path("linked").asBoolean()));
	}

	/**
	 * Starts a sidecar again after its end, as another life with an empty memory.
	 * @param vm its VM
	 */
	public void restartSidecar(String vm) {
		launchSidecar(vm);
		RunningProcess process = this.processes.get(vm);
		process.awaitPorts();
		this.links.get(vm).retarget(process.work());
		Waiting.until("readiness of " + vm, process::isHealthy);
	}

	/**
	 * Returns the sidecar that is the home of the only program.
	 * @return the process
	 */
	public RunningProcess home() {
		List<RunningProcess> homes = new ArrayList<>();
		Waiting.until("a home", () -> {
			homes.clear();
			this.engines.keySet()
				.stream()
				.map(this.processes::get)
				.filter(RunningProcess::isAlive)
				.filter((sidecar) -> sidecar.status().path("homes").asInt() > 0)
				.forEach(homes::add);
			return homes.size() == 1;
		});
		return homes.getFirst();
	}

	/**
	 * Returns an entry.
	 * @param number its number, from 1
	 * @return the process
	 */
	public RunningProcess entry(int number) {
		return Objects.requireNonNull(this.processes.get("entry-" + number));
	}

	/**
	 * Returns the entries.
	 * @return the processes
	 */
	public List<RunningProcess> entries() {
		return this.processes.entrySet()
			.stream()
			.filter((named) -> named.getKey().startsWith("entry-"))
			.map(Map.Entry::getValue)
			.toList();
	}

	/**
	 * Returns the process of a VM.
	 * @param vm the VM
	 * @return its latest life
	 */
	public RunningProcess process(String vm) {
		return Objects.requireNonNull(this.processes.get(vm));
	}

	/**
	 * Returns all processes.
	 * @return the latest life of each
	 */
	public List<RunningProcess> processes() {
		return List.copyOf(this.processes.values());
	}

	/**
	 * Returns the engines.
	 * @return the stand-ins by their VMs
	 */
	public Map<String, EngineStandIn> engines() {
		return this.engines;
	}

	/**
	 * Returns the plain services.
	 * @return the stand-ins by their VMs
	 */
	public Map<String, ToolServiceStandIn> services() {
		return this.services;
	}

	/**
	 * Returns how often a request ran at all plain services together.
	 * @param request the name of the request
	 * @return the number of runs
	 */
	public int serviceRuns(String request) {
		return this.services.values().stream().mapToInt((service) -> service.runs().getOrDefault(request, 0)).sum();
	}

	/**
	 * Returns the proxy between the entries and a sidecar.
	 * @param vm the sidecar's VM
	 * @return the proxy
	 */
	public FaultProxy link(String vm) {
		return Objects.requireNonNull(this.links.get(vm));
	}

	/**
	 * Returns the proxy between a sidecar and its upstream.
	 * @param vm the sidecar's VM
	 * @return the proxy
	 */
	public FaultProxy upstream(String vm) {
		return Objects.requireNonNull(this.upstreams.get(vm));
	}

	/**
	 * Returns the log service.
	 * @return the stand-in
	 */
	public LogServiceStandIn log() {
		return this.log;
	}

	/**
	 * Returns the list of VMs.
	 * @return the stand-in
	 */
	public VmListStandIn vms() {
		return this.vms;
	}

	/**
	 * Returns the caller of the site.
	 * @return the caller
	 */
	public Caller caller() {
		return new Caller(KEY);
	}

	String logs() {
		StringBuilder text = new StringBuilder();
		this.processes.forEach((vm, process) -> text.append("\n== ").append(vm).append('\n').append(process.tail()));
		return text.toString();
	}

	@Override
	public void close() {
		this.processes.values().forEach(RunningProcess::close);
		this.links.values().forEach(FaultProxy::close);
		this.upstreams.values().forEach(FaultProxy::close);
		this.engines.values().forEach(EngineStandIn::close);
		this.services.values().forEach(ToolServiceStandIn::close);
		this.logClient.close();
		this.log.close();
		this.vms.close();
	}

	private static Endpoint endpoint(InetSocketAddress address) {
		return new Endpoint("127.0.0.1", address.getPort());
	}

	private static String sha256(String text) {
		try {
			return HexFormat.of()
				.formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
