package org.lovagethread.gateway.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static Route route(String name, String host, String prefix) {
        return Route.builder(name)
                .match(host, prefix)
                .services(List.of(new Route.WeightedService("desk", 1)))
                .build();
    }

    private final RouteTable table = new RouteTable(List.of(
            route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/")));

    @Nested
    class Finding {
        @Test
        void selectsLongestPrefix() {
            assertThat(table.find("a.example", "/x/y/z")).map(Route::name).contains("long");
            assertThat(table.find("a.example", "/x/z")).map(Route::name).contains("short");
        }

        @Test
        void ignoresPortAndCaseOfHost() {
            assertThat(table.find("B.Example:8221", "/anything"))
                    .map(Route::name)
                    .contains("other");
        }

        @Test
        void returnsEmptyForUnknownHostOrPath() {
            assertThat(table.find("c.example", "/x/")).isEmpty();
            assertThat(table.find("a.example", "/x")).isEmpty();
        }
    }

    @Nested
    class TrafficSplit {
        @Test
        void followsWeights() {
            Route split = Route.builder("split")
                    .match("a.example", "/")
                    .services(List.of(new Route.WeightedService("one", 90), new Route.WeightedService("two", 10)))
                    .build();
            assertThat(split.selectService(0.0)).isEqualTo("one");
            assertThat(split.selectService(0.89)).isEqualTo("one");
            assertThat(split.selectService(0.91)).isEqualTo("two");
        }
    }

    @Nested
    class Retrying {
        @Test
        void dependsOnKindAndResumability() {
            assertThat(RouteKind.IDEMPOTENT.isRetryable(false)).isTrue();
            assertThat(RouteKind.AT_MOST_ONCE.isRetryable(true)).isFalse();
            assertThat(RouteKind.EVENT_STREAM.isRetryable(false)).isFalse();
            assertThat(RouteKind.EVENT_STREAM.isRetryable(true)).isTrue();
        }
    }
}
