package io.lentilslip.settings.process;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.settings.ini.IniDocument;
import io.lentilslip.settings.ini.IniFile;
import io.lentilslip.settings.ini.IniSection;
import io.lentilslip.settings.ini.Problems;
import io.lentilslip.settings.ini.SectionReader;
import io.lentilslip.settings.ini.ValueKind;
import io.lentilslip.settings.ini.ValueText;
import io.vavr.control.Either;

/**
 * Reads the settings of a process from an INI file and the command line, whole or not at
 * all. Settings are read once, at the start; what may change while processes run belongs
 * in the configuration that operators publish. Immutable and safe for use by several
 * threads.
 */
public final class SettingsReader {

	private static final int MAXIMUM_BYTES = 1 << 20;

	private static final int LEAST_SECRET_BYTES = 16;

	private static final int MOST_SECRET_BYTES = 4096;

	private static final String LINK_SECRET_FILE = "link_secret_file";

	private static final String PROCESS = "process";

	private static final String LISTEN = "listen";

	private static final String PLATFORM = "platform";

	private static final String UPSTREAM = "upstream";

	private static final String LOGGING = "logging";

	private static final String BOUNDS = "bounds";

	private static final Set<String> ENTRY_SECTIONS = Set.of(PROCESS, LISTEN, PLATFORM, LOGGING, BOUNDS);

	private static final Set<String> SIDECAR_SECTIONS = Set.of(PROCESS, LISTEN, PLATFORM, UPSTREAM, LOGGING, BOUNDS);

	private static final ValueKind<Integer> RECORDS = ValueKind.integer(1, 10_000_000);

	private static final ValueKind<Long> BYTES = ValueKind.bytes(64L << 30);

	private static final ValueKind<LogSettings.Format> FORMAT = choice(LogSettings.Format.values());

	private static final ValueKind<LogSettings.Level> LEVEL = choice(LogSettings.Level.values());

	private static final ValueKind<VmName> VM_NAME = new ValueKind<>("the name of a VM", VmName::parse);

	private static final ValueKind<ZoneName> ZONE_NAME = new ValueKind<>("the name of an availability zone",
			ZoneName::parse);

	private final Path file;

	private final SettingOverrides overrides;

	/**
	 * Creates a reader.
	 * @param file the INI file
	 * @param overrides the settings of the command line
	 */
	public SettingsReader(Path file, SettingOverrides overrides) {
		this.file = Objects.requireNonNull(file, "file");
		this.overrides = Objects.requireNonNull(overrides, "overrides");
	}

	/**
	 * Reads the settings of an entry.
	 * @return all problems on the left, or the settings on the right
	 */
	public Either<List<ConfigurationProblem>, EntrySettings> readEntry() {
		return read(ENTRY_SECTIONS, (sections) -> {
			Optional<Endpoint> callers = sections.section(LISTEN).required("callers", ValueKind.LISTENING_ENDPOINT);
			return process(sections)
				.flatMap((process) -> callers.map((endpoint) -> new EntrySettings(process, endpoint)));
		});
	}

	/**
	 * Reads the settings of a sidecar.
	 * @return all problems on the left, or the settings on the right
	 */
	public Either<List<ConfigurationProblem>, SidecarSettings> readSidecar() {
		return read(SIDECAR_SECTIONS, (sections) -> {
			Optional<Endpoint> upstream = sections.section(UPSTREAM).required("address", ValueKind.ENDPOINT);
			return process(sections)
				.flatMap((process) -> upstream.map((endpoint) -> new SidecarSettings(process, endpoint)));
		});
	}

	private <T> Either<List<ConfigurationProblem>, T> read(Set<String> known,
			Function<SettingsSections, Optional<T>> reading) {
		Problems problems = new Problems();
		Optional<byte[]> bytes = readFile(problems);
		if (bytes.isEmpty()) {
			return problems.orElse(() -> null);
		}
		IniFile read = IniFile.read(this.file.toString(), bytes.get(), problems);
		IniDocument document = IniDocument.merge(List.of(read, this.overrides.asFile()), problems);
		refuseUnknownSections(document, known, problems);
		Optional<T> settings;
		try (SettingsSections sections = new SettingsSections(document, this.file.toString(), problems)) {
			settings = reading.apply(sections);
		}
		return problems.orElse(settings::orElseThrow);
	}

	private Optional<byte[]> readFile(Problems problems) {
		try (InputStream input = Files.newInputStream(this.file)) {
			byte[] bytes = input.readNBytes(MAXIMUM_BYTES + 1);
			if (bytes.length <= MAXIMUM_BYTES) {
				return Optional.of(bytes);
			}
			problems.add(ConfigurationProblem.ofFile(this.file.toString(), "more than that",
					"at most " + ValueText.ofBytes(MAXIMUM_BYTES)));
		}
		catch (IOException ex) {
			problems.add(ConfigurationProblem.ofFile(this.file.toString(), ex.toString(), "a file that can be read"));
		}
		return Optional.empty();
	}

	private static void refuseUnknownSections(IniDocument document, Set<String> known, Problems problems) {
		String expected = known.stream().sorted().collect(Collectors.joining("], [", "[", "]"));
		for (IniSection section : document.sections()) {
			if (!known.contains(section.name().toString())) {
				problems.add(section, "an unknown section", expected);
			}
		}
	}

	private Optional<ProcessSettings> process(SettingsSections sections) {
		SectionReader process = sections.section(PROCESS);
		SectionReader listen = sections.section(LISTEN);
		Optional<VmName> vm = process.required("vm", VM_NAME);
		Optional<ZoneName> zone = process.required("zone", ZONE_NAME);
		Optional<Path> secret = linkSecretFile(process);
		Optional<Endpoint> links = listen.required("links", ValueKind.LISTENING_ENDPOINT);
		Optional<Endpoint> admin = listen.required("admin", ValueKind.LISTENING_ENDPOINT);
		Optional<PlatformAddresses> platform = platform(sections.section(PLATFORM));
		LogSettings logging = logging(sections.section(LOGGING));
		MemoryBounds memory = memory(sections.section(BOUNDS));
		if (vm.isEmpty() || zone.isEmpty() || secret.isEmpty() || links.isEmpty() || admin.isEmpty()
				|| platform.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new ProcessSettings(vm.get(), zone.get(), links.get(), admin.get(), secret.get(),
				platform.get(), logging, memory));
	}

	private Optional<Path> linkSecretFile(SectionReader section) {
		Optional<Path> secret = section.required(LINK_SECRET_FILE, ValueKind.PATH).map(this.file::resolveSibling);
		secret.ifPresent(
				(path) -> section.require(isSecret(path), LINK_SECRET_FILE, "a readable file of " + LEAST_SECRET_BYTES
						+ " to " + MOST_SECRET_BYTES + " bytes (paths are relative to the settings file)"));
		return secret;
	}

	private static boolean isSecret(Path path) {
		try {
			long size = Files.size(path);
			return Files.isRegularFile(path) && Files.isReadable(path) && size >= LEAST_SECRET_BYTES
					&& size <= MOST_SECRET_BYTES;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static Optional<PlatformAddresses> platform(SectionReader section) {
		Optional<Endpoint> logService = section.required("log_service", ValueKind.ENDPOINT);
		Optional<Endpoint> vmList = section.required("vm_list", ValueKind.ENDPOINT);
		Optional<Endpoint> weightStore = section.required("weight_store", ValueKind.ENDPOINT);
		if (logService.isEmpty() || vmList.isEmpty() || weightStore.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new PlatformAddresses(logService.get(), vmList.get(), weightStore.get()));
	}

	private static LogSettings logging(SectionReader section) {
		return new LogSettings(section.optional("format", FORMAT).orElse(LogSettings.DEFAULT.format()),
				section.optional("level", LEVEL).orElse(LogSettings.DEFAULT.level()));
	}

	private static MemoryBounds memory(SectionReader section) {
		MemoryBounds defaults = MemoryBounds.DEFAULT;
		return new MemoryBounds(section.optional("queued_events", RECORDS).orElse(defaults.queuedEvents()),
				section.optional("link_send_bytes", BYTES).orElse(defaults.linkSendBytes()),
				section.optional("pending_appends", RECORDS).orElse(defaults.pendingAppends()),
				section.optional("history_bytes", BYTES).orElse(defaults.historyBytes()));
	}

	private static <E extends Enum<E>> ValueKind<E> choice(E[] values) {
		Map<String, E> byText = Arrays.stream(values)
			.collect(Collectors.toMap((value) -> value.name().toLowerCase(Locale.ROOT), Function.identity()));
		return new ValueKind<>("one of " + String.join(", ", new TreeSet<>(byText.keySet())),
				(text) -> Optional.ofNullable(byText.get(text)));
	}

}
