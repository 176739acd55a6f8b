package io.lentilslip.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.configuration.ServicePolicy;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.settings.folder.ConfigurationDescription;
import io.lentilslip.settings.folder.ConfigurationFolder;
import io.lentilslip.settings.process.EntrySettings;
import io.lentilslip.settings.process.SettingOverrides;
import io.lentilslip.settings.process.SettingsReader;
import io.lentilslip.settings.process.SidecarSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExampleFolderTests {

	private static final Path ROOT = Path.of("..");

	private static final Pattern DOCUMENTED_KEY = Pattern
		.compile("\\| `([\\w-]+)` \\| ([\\w-]+) \\| `([\\w-]+-demo)` \\|");

	private static final Pattern INI_KEY = Pattern.compile("(?m)^(\\w+) =");

	@ParameterizedTest
	@CsvSource({ "barca, 4, 6, 5", "lone-star, 3, 8, 4" })
	void hasTheSizesOfTheSite(String site, int zones, int engines, int services) {
		Configuration configuration = read(site);
		assertThat(configuration.zones()).hasSize(zones);
		assertThat(configuration.upstreams()).extracting(UpstreamPolicy::kind)
			.filteredOn(UpstreamKind.ForEngine.class::isInstance)
			.hasSize(engines);
		assertThat(configuration.upstreams()).hasSize(engines + services);
		assertThat(configuration.upstreams()).extracting(UpstreamPolicy::zone).containsAll(configuration.zones());
	}

	@ParameterizedTest
	@ValueSource(strings = { "barca", "lone-star" })
	void givesEachListenerAnAddressOfItsOwn(String site) {
		Set<Object> endpoints = new HashSet<>();
		for (UpstreamPolicy upstream : read(site).upstreams()) {
			assertThat(endpoints.add(upstream.sidecar())).isTrue();
			assertThat(endpoints.add(upstream.address())).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "barca", "lone-star" })
	void knowsTheDocumentedKeys(String site) throws IOException {
		Configuration configuration = read(site);
		Matcher documented = DOCUMENTED_KEY.matcher(Files.readString(folder(site).resolve("README.md")));
		int count = 0;
		while (documented.find()) {
			CallerPolicy caller = configuration.caller(Digest.of(documented.group(3))).orElseThrow();
			assertThat(caller.name()).hasToString(documented.group(1));
			assertThat(caller.group()).hasToString(documented.group(2));
			count++;
		}
		assertThat(configuration.callers()).hasSize(count);
	}

	@ParameterizedTest
	@ValueSource(strings = { "barca", "lone-star" })
	void hasSettingsThatFitTheConfiguration(String site) {
		Path settings = folder(site).resolve("settings");
		EntrySettings entry = new SettingsReader(settings.resolve("entry.ini"), SettingOverrides.NONE).readEntry()
			.get();
		SidecarSettings sidecar = new SettingsReader(settings.resolve("sidecar.ini"), SettingOverrides.NONE)
			.readSidecar()
			.get();
		UpstreamPolicy upstream = read(site).upstream(sidecar.process().vm()).orElseThrow();
		assertThat(sidecar.upstream()).isEqualTo(upstream.address());
		assertThat(sidecar.process().links()).isEqualTo(upstream.sidecar());
		assertThat(sidecar.process().zone()).isEqualTo(upstream.zone());
		assertThat(entry.process().platform()).isEqualTo(sidecar.process().platform());
	}

	@Test
	void repeatsNoPing() {
		ServicePolicy pings = read("lone-star").service(new ServiceName("pings")).orElseThrow();
		assertThat(pings.repeatable()).isEmpty();
	}

	@Test
	void letsDraftsWaitForBuyers() {
		Configuration configuration = read("barca");
		GroupName sellers = new GroupName("sellers");
		assertThat(configuration.classOf(sellers, new ProgramName("draft-1"))).isEqualTo(ServiceClass.BACKGROUND);
		assertThat(configuration.classOf(new GroupName("buyers"), new ProgramName("draft-1")))
			.isEqualTo(ServiceClass.INTERACTIVE);
		CallerPolicy site = configuration.caller(Digest.of("barca-buyers-demo")).orElseThrow();
		assertThat(configuration.groupFor(site, new ProgramName("offer-1"))).isEqualTo(sellers);
	}

	@Test
	void hasEachKeyOnThePageOfTheConfiguration() throws IOException {
		String page = Files.readString(ROOT.resolve("docs/CONFIGURATION.md"));
		for (String site : List.of("barca", "lone-star")) {
			Matcher keys = INI_KEY.matcher(ConfigurationDescription.of(read(site)).text());
			while (keys.find()) {
				assertThat(page).contains("| `" + keys.group(1) + "` |");
			}
		}
	}

	private static Configuration read(String site) {
		return new ConfigurationFolder(folder(site)).readConfiguration().get();
	}

	private static Path folder(String site) {
		return ROOT.resolve("examples").resolve(site);
	}

}
