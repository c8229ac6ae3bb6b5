package org.lovagethread.gateway;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks that decision logic uses neither networks nor clocks and that the gateway does not depend on the platform. */
@AnalyzeClasses(packages = "org.lovagethread.gateway", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {

    @ArchTest
    static final ArchRule DECISION_LOGIC_DOES_NOT_USE_NETWORK = noClasses()
            .that()
            .resideInAnyPackage(
                    "org.lovagethread.gateway.policy",
                    "org.lovagethread.gateway.config",
                    "org.lovagethread.gateway.link",
                    "org.lovagethread.gateway.rollout",
                    "org.lovagethread.gateway.upstream")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..", "org.lovagethread.gateway.http", "org.lovagethread.wire..");

    @ArchTest
    static final ArchRule DECISION_LOGIC_DOES_NOT_READ_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(
                    "org.lovagethread.gateway.link",
                    "org.lovagethread.gateway.policy",
                    "org.lovagethread.gateway.upstream",
                    "org.lovagethread.gateway.duty",
                    "org.lovagethread.gateway.rollout",
                    "org.lovagethread.gateway.store",
                    "org.lovagethread.gateway.stream")
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime");

    @ArchTest
    static final ArchRule GATEWAY_DOES_NOT_DEPEND_ON_PLATFORM =
            noClasses().should().dependOnClassesThat().resideInAPackage("org.lovagethread.platform..");
}
