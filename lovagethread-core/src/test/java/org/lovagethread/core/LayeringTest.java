package org.lovagethread.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks that the core does not depend on I/O, clocks, threads or unseeded random number generators. */
@AnalyzeClasses(packages = "org.lovagethread.core", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {

    @ArchTest
    static final ArchRule DEPENDS_ON_PLAIN_JAVA_ONLY = classes()
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "org.lovagethread.core..",
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.stream",
                    "io.vavr..");

    @ArchTest
    static final ArchRule READS_NO_CLOCK = noClasses()
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .dependOnClassesThat()
            .resideInAPackage("java.time..");

    @ArchTest
    static final ArchRule STARTS_NO_THREAD =
            noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class);
}
