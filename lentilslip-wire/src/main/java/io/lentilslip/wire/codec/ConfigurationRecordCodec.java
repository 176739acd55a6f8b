package io.lentilslip.wire.codec;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;

import com.google.protobuf.ByteString;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.wire.configuration.PublishedConfiguration;
import io.lentilslip.wire.generated.ConfigurationProtocol;
import io.vavr.control.Either;

/**
 * Codec between a published configuration and the bytes of one log record. Stateless and
 * safe for use by several threads.
 */
public final class ConfigurationRecordCodec {

	/**
	 * The most files of a configuration.
	 */
	public static final int MAXIMUM_FILES = 4_096;

	/**
	 * The most characters of a file's name.
	 */
	public static final int MAXIMUM_NAME_LENGTH = 255;

	private ConfigurationRecordCodec() {
	}

	/**
	 * Writes a configuration.
	 * @param configuration the configuration
	 * @return the bytes of one log record
	 */
	public static byte[] encode(PublishedConfiguration configuration) {
		ConfigurationProtocol.ConfigurationRecord.Builder builder = ConfigurationProtocol.ConfigurationRecord
			.newBuilder()
			.setVersion(Fields.PROTOCOL_VERSION)
			.setPublicationId(Fields.bytes(configuration.publicationId()));
		if (configuration.baseVersion() != PublishedConfiguration.NO_BASE_VERSION) {
			builder.setBaseVersion(configuration.baseVersion());
		}
		configuration.files().files().forEach((file) -> builder.addFiles(write(file)));
		return builder.build().toByteArray();
	}

	/**
	 * Reads a configuration.
	 * @param bytes the bytes of one log record
	 * @return the configuration, or why there is none
	 */
	public static Either<CodecProblem, PublishedConfiguration> decode(byte[] bytes) {
		return Fields.decode(() -> read(ConfigurationProtocol.ConfigurationRecord.parseFrom(bytes)));
	}

	private static ConfigurationProtocol.ConfigurationFile write(ConfigurationFile file) {
		return ConfigurationProtocol.ConfigurationFile.newBuilder()
			.setName(file.name())
			.setContent(ByteString.copyFrom(file.bytes()))
			.build();
	}

	private static PublishedConfiguration read(ConfigurationProtocol.ConfigurationRecord message) {
		Fields.version(message.getVersion());
		long baseVersion = message.hasBaseVersion() ? Fields.count(message.getBaseVersion(), "base_version")
				: PublishedConfiguration.NO_BASE_VERSION;
		UUID publicationId = Fields.uuid(message.getPublicationId(), "publication_id");
		return new PublishedConfiguration(baseVersion, publicationId, readFiles(message.getFilesList()));
	}

	private static ConfigurationSource readFiles(List<ConfigurationProtocol.ConfigurationFile> messages) {
		Fields.bounded(messages, MAXIMUM_FILES, "files");
		Set<String> names = new HashSet<>();
		for (ConfigurationProtocol.ConfigurationFile message : messages) {
			checkName(message.getName());
			if (!names.add(message.getName())) {
				throw Fields.invalid("files", "a name for each file that no other has");
			}
		}
		return new ConfigurationSource(messages.stream().map(ConfigurationRecordCodec::readFile).toList());
	}

	private static ConfigurationFile readFile(ConfigurationProtocol.ConfigurationFile message) {
		return new ConfigurationFile(message.getName(), message.getContent().toByteArray());
	}

	// A name with a separator, or one that names a folder, could lead out of the folder
	// that an operator restores a configuration into.
	private static void checkName(String name) {
		Fields.require(!name.isEmpty(), "name");
		boolean leadsOut = name.equals(".") || name.equals("..") || name.contains("/") || name.contains("\\");
		boolean hasControl = name.chars().anyMatch(Character::isISOControl);
		if (leadsOut || hasControl || name.length() > MAXIMUM_NAME_LENGTH) {
			throw Fields.invalid("name", "a file name of at most " + MAXIMUM_NAME_LENGTH + " characters");
		}
	}

}
