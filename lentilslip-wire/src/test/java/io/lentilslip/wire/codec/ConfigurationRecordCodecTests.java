package io.lentilslip.wire.codec;

import com.google.protobuf.ByteString;
import io.lentilslip.wire.configuration.PublishedConfiguration;
import io.lentilslip.wire.generated.ConfigurationProtocol;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationRecordCodecTests {

	@Property(seed = "20260714")
	void readsBackEveryConfiguration(@ForAll("configurations") PublishedConfiguration configuration) {
		assertThat(ConfigurationRecordCodec.decode(ConfigurationRecordCodec.encode(configuration)).get())
			.isEqualTo(configuration);
	}

	@Property(seed = "20260714")
	void returnsAProblemOrAConfigurationForAnyBytes(@ForAll byte[] bytes) {
		assertThat(ConfigurationRecordCodec.decode(bytes)).isNotNull();
	}

	// A record names a file outside its folder. An operator who restores the folder from
	// it would overwrite a file elsewhere.
	@ParameterizedTest
	@ValueSource(strings = { "..", "../10-groups.ini", "sub/10-groups.ini", "sub\\10-groups.ini", "a\nb" })
	void refusesAFileNameThatIsNotAllowed(String name) {
		assertThat(problem(message().addFiles(file(name))))
			.isEqualTo(new CodecProblem.InvalidField("name", "a file name of at most 255 characters"));
	}

	@Test
	void refusesTwoFilesOfOneName() {
		assertThat(problem(message().addFiles(file("a.ini")).addFiles(file("a.ini"))))
			.isEqualTo(new CodecProblem.InvalidField("files", "a name for each file that no other has"));
	}

	@Test
	void refusesAPublicationIdOfAnotherLength() {
		assertThat(problem(message().setPublicationId(ByteString.copyFrom(new byte[15]))))
			.isEqualTo(new CodecProblem.InvalidField("publication_id", "16 bytes"));
	}

	@Provide
	Arbitrary<PublishedConfiguration> configurations() {
		return ArbitraryValues.configurations();
	}

	private static ConfigurationProtocol.ConfigurationRecord.Builder message() {
		return ConfigurationProtocol.ConfigurationRecord.newBuilder()
			.setVersion(Fields.PROTOCOL_VERSION)
			.setPublicationId(ByteString.copyFrom(new byte[16]));
	}

	private static ConfigurationProtocol.ConfigurationFile file(String name) {
		return ConfigurationProtocol.ConfigurationFile.newBuilder().setName(name).build();
	}

	private static CodecProblem problem(ConfigurationProtocol.ConfigurationRecord.Builder message) {
		return ConfigurationRecordCodec.decode(message.build().toByteArray()).getLeft();
	}

}
