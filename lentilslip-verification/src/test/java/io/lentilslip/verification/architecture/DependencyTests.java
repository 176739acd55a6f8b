package io.lentilslip.verification.architecture;

import java.net.Socket;
import java.time.Clock;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

@AnalyzeClasses(packages = "io.lentilslip", importOptions = ImportOption.DoNotIncludeTests.class)
class DependencyTests {

	private static final String CORE = "io.lentilslip.core..";

	@ArchTest
	final ArchRule coreDependsOnNoOtherModule = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage(CORE)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.lentilslip.wire..", "io.lentilslip.client..", "io.lentilslip.settings..",
				"io.lentilslip.telemetry..", "io.lentilslip.runtime..", "io.lentilslip.entry..",
				"io.lentilslip.sidecar..", "io.lentilslip.relay..", "io.lentilslip.platform..",
				"io.lentilslip.standin..", "io.lentilslip.application..");

	@ArchTest
	final ArchRule onlyTheCommandLineKnowsTheUsersPlatform = ArchRuleDefinition.noClasses()
		.that()
		.resideOutsideOfPackages("io.lentilslip.platform..", "io.lentilslip.application.command..")
		.should()
		.dependOnClassesThat()
		.resideInAPackage("io.lentilslip.platform..");

	@ArchTest
	final ArchRule relayKnowsNoOtherRole = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage("io.lentilslip.relay..", "io.lentilslip.platform..")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.lentilslip.entry..", "io.lentilslip.sidecar..", "io.lentilslip.runtime..",
				"io.lentilslip.client..", "io.lentilslip.standin..", "io.lentilslip.application..");

	@ArchTest
	final ArchRule coreUsesNoLibraryForInputOrOutput = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage(CORE)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.netty..", "io.jooby..", "okhttp3..", "com.fasterxml..", "com.google.protobuf..",
				"org.slf4j..", "io.prometheus..", "java.net..", "java.nio.file..", "java.nio.channels..",
				"java.util.concurrent..");

	@ArchTest
	final ArchRule coreOpensNoSocket = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage(CORE)
		.should()
		.dependOnClassesThat()
		.areAssignableTo(Socket.class);

	@ArchTest
	final ArchRule coreReadsNoClockInstance = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage(CORE)
		.should()
		.callMethod(java.time.Instant.class, "now")
		.orShould()
		.callMethod(System.class, "nanoTime")
		.orShould()
		.callMethod(System.class, "currentTimeMillis")
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(Clock.class);

	@ArchTest
	final ArchRule coreDrawsNoSeedOfItsOwn = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage(CORE)
		.should()
		.callConstructor(Random.class)
		.orShould()
		.callMethod(Math.class, "random")
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(ThreadLocalRandom.class);

	@ArchTest
	final ArchRule standInsDependOnNothingOfOurs = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.lentilslip.standin..")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage(CORE, "io.lentilslip.wire..", "io.lentilslip.client..", "io.lentilslip.settings..",
				"io.lentilslip.telemetry..", "io.lentilslip.runtime..", "io.lentilslip.entry..",
				"io.lentilslip.sidecar..", "io.lentilslip.application..");

	@ArchTest
	final ArchRule standInsAreInNoPathOfARole = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage("io.lentilslip.entry..", "io.lentilslip.sidecar..", "io.lentilslip.runtime..",
				"io.lentilslip.client..", "io.lentilslip.wire..")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.lentilslip.standin..", "io.lentilslip.application..");

	@ArchTest
	final ArchRule entryAndSidecarMeetOnlyOnTheWire = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.lentilslip.entry..")
		.should()
		.dependOnClassesThat()
		.resideInAPackage("io.lentilslip.sidecar..");

	@ArchTest
	final ArchRule noProcessStartsAnother = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.lentilslip..")
		.should()
		.dependOnClassesThat()
		.areAssignableTo(ProcessBuilder.class)
		.orShould()
		.callMethod(Runtime.class, "exec", String[].class);

	@ArchTest
	final ArchRule modulesHaveNoCycles = SlicesRuleDefinition.slices()
		.matching("io.lentilslip.(*)..")
		.should()
		.beFreeOfCycles();

}
