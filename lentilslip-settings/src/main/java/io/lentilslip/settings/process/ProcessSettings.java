package io.lentilslip.settings.process;

import java.nio.file.Path;
import java.util.Objects;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * What both roles need to know at their start. Immutable and safe for use by several
 * threads.
 *
 * @param vm the VM the process runs on
 * @param zone the availability zone of the VM
 * @param links where the process listens for links of other processes
 * @param admin where the process serves metrics and its state
 * @param linkSecretFile the file with the secret that the system's processes share
 * @param platform where the platform's services are
 * @param logging how the process writes its log
 * @param memory bounds of what the process holds in memory
 */
public record ProcessSettings(VmName vm, ZoneName zone, Endpoint links, Endpoint admin, Path linkSecretFile,
		PlatformAddresses platform, LogSettings logging, MemoryBounds memory) {

	/**
	 * Creates settings.
	 * @param vm the VM the process runs on
	 * @param zone the availability zone of the VM
	 * @param links where the process listens for links of other processes
	 * @param admin where the process serves metrics and its state
	 * @param linkSecretFile the file with the secret that the system's processes share
	 * @param platform where the platform's services are
	 * @param logging how the process writes its log
	 * @param memory bounds of what the process holds in memory
	 */
	public ProcessSettings {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(links, "links");
		Objects.requireNonNull(admin, "admin");
		Objects.requireNonNull(linkSecretFile, "linkSecretFile");
		Objects.requireNonNull(platform, "platform");
		Objects.requireNonNull(logging, "logging");
		Objects.requireNonNull(memory, "memory");
	}

}
