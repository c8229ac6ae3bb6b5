package org.lovagethread.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

class StreamVersionsTest {
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long LIFETIME_MILLIS = 2 * TIMEOUT_MILLIS;
    private static final long MAX_LIST_AGE_MILLIS = 5_000;

    private final StreamVersions versions = new StreamVersions();

    private static List<Upstream> upstreams(String... listed) {
        List<Upstream> upstreams = new ArrayList<>();
        for (String version : listed) {
            upstreams.add(new Upstream(
                    new UpstreamEntry("i-" + version, "pool", "10.0.0.1", 80, "a", 6, false, false, 1, version)));
        }
        return upstreams;
    }

    @Nested
    class KnowledgeOfAllVersions {
        // Guards against a gateway that trusts its first list, since no lifetime was known when it got requests.
        @Test
        void isNotClaimedBeforeTheFirstConfiguration() {
            versions.observe(upstreams("1"), OptionalLong.of(0), 0);
            versions.observe(upstreams("1"), OptionalLong.of(10 * LIFETIME_MILLIS), 10 * LIFETIME_MILLIS);
            assertThat(versions.isComplete()).isFalse();
        }

        @Test
        void isNotClaimedBeforeTheFirstList() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.observe(upstreams(), OptionalLong.of(0), 0);
            versions.recordPeer(true, Set.of(), Map.of(), 10);
            versions.observe(upstreams(), OptionalLong.of(10 * LIFETIME_MILLIS), 10 * LIFETIME_MILLIS);
            assertThat(versions.isComplete()).isFalse();
        }

        @Test
        void isThereAfterOneLifetime() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.observe(upstreams("1"), OptionalLong.of(0), 0);
            versions.observe(upstreams("1"), OptionalLong.of(LIFETIME_MILLIS), LIFETIME_MILLIS);
            assertThat(versions.isComplete()).isFalse();
            versions.observe(upstreams("1"), OptionalLong.of(LIFETIME_MILLIS + 1), LIFETIME_MILLIS + 1);
            assertThat(versions.isComplete()).isTrue();
        }

        // Guards against a gateway that counts a list of unknown age as up to date.
        @Test
        void isNotClaimedWithAListOfUnknownAge() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.observe(upstreams("1"), OptionalLong.empty(), 0);
            versions.observe(upstreams("1"), OptionalLong.empty(), 10 * LIFETIME_MILLIS);
            assertThat(versions.isComplete()).isFalse();
        }

        // Guards against a gateway that stood still or was cut off, and judges by a list of before.
        @Test
        void endsWithTheAgeOfTheList() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.markComplete();
            versions.observe(upstreams("1"), OptionalLong.of(0), 0);
            assertThat(versions.isComplete()).isTrue();
            versions.observe(upstreams("1"), OptionalLong.of(0), MAX_LIST_AGE_MILLIS + 1);
            assertThat(versions.isComplete()).isFalse();
            long listedAgainMillis = MAX_LIST_AGE_MILLIS + 2;
            versions.observe(upstreams("1"), OptionalLong.of(listedAgainMillis), listedAgainMillis);
            assertThat(versions.isComplete()).isFalse();
            versions.observe(
                    upstreams("1"),
                    OptionalLong.of(listedAgainMillis + LIFETIME_MILLIS),
                    listedAgainMillis + LIFETIME_MILLIS + 1);
            assertThat(versions.isComplete()).isTrue();
        }

        @Test
        void isNotAdoptedFromAPeerWithSeveralVersions() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.observe(upstreams("1"), OptionalLong.of(0), 0);
            versions.recordPeer(true, Set.of("pool"), Map.of(), 10);
            assertThat(versions.isComplete()).isFalse();
            assertThat(versions.isMixed("pool", 20)).isTrue();
        }
    }

    @Nested
    class SeveralVersions {
        @Test
        void countForOneLifetimeAfterTheLastUpstreamOfOne() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.observe(upstreams("1", "2"), OptionalLong.of(0), 0);
            versions.observe(upstreams("2"), OptionalLong.of(LIFETIME_MILLIS), LIFETIME_MILLIS);
            assertThat(versions.mixedServices(LIFETIME_MILLIS)).containsExactly("pool");
            versions.observe(upstreams("2"), OptionalLong.of(LIFETIME_MILLIS + 1), LIFETIME_MILLIS + 1);
            assertThat(versions.mixedServices(LIFETIME_MILLIS + 1)).isEmpty();
        }

        @Test
        void countForLongerStreamsAfterAConfigurationWithShorterOnes() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.longestTimeout(TIMEOUT_MILLIS / 10);
            assertThat(versions.lifetimeMillis()).isEqualTo(LIFETIME_MILLIS);
        }
    }

    @Nested
    class Streams {
        @Test
        void areForgottenAfterTheirLifetime() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            versions.recordBeginning("pool", "a", "1", 0);
            versions.recordBeginning("pool", "b", "1", 10);
            versions.observe(upstreams("1"), OptionalLong.of(LIFETIME_MILLIS + 5), LIFETIME_MILLIS + 5);
            assertThat(versions.version("pool", "a")).isEmpty();
            assertThat(versions.version("pool", "b")).contains("1");
            assertThat(versions.version("other", "b")).isEmpty();
        }

        @Test
        void areBoundedInNumber() {
            versions.longestTimeout(TIMEOUT_MILLIS);
            for (int i = 0; i < 100_000; i++) {
                versions.recordBeginning("pool", "s-" + i, "1", 0);
            }
            assertThat(versions.begunSince("pool", 0)).hasSizeLessThan(20_000);
            assertThat(versions.version("pool", "s-99999")).contains("1");
        }

        @Test
        void haveDifferentKeys() {
            Set<Long> keys = new HashSet<>();
            for (int i = 0; i < 100_000; i++) {
                keys.add(BegunStream.keyOf(Integer.toHexString(i)));
            }
            assertThat(keys).hasSize(100_000);
        }
    }
}
