package org.lovagethread.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.upstream.FairShare.Participant;

class FairShareTest {
    private static List<Participant> participants(int... demands) {
        return IntStream.range(0, demands.length)
                .mapToObj(i -> new Participant("g-" + i, 1, demands[i]))
                .toList();
    }

    private static int[] shares(List<Participant> participants, int places, long seed) {
        return participants.stream()
                .mapToInt(participant -> FairShare.of(participant.name(), participants, places, seed))
                .toArray();
    }

    @Test
    void meetsSmallDemandsFirst() {
        assertThat(shares(participants(2, 100, 100), 12, 0)).containsExactly(2, 5, 5);
    }

    @Test
    void dividesWhatNobodyDemandsEqually() {
        assertThat(shares(participants(0, 0, 3), 9, 0)).containsExactly(2, 2, 5);
    }

    @Test
    void givesAwayEachPlaceOnce() {
        for (int places = 0; places < 40; places++) {
            assertThat(IntStream.of(shares(participants(0, 3, 50, 7, 1), places, places))
                            .sum())
                    .isEqualTo(places);
        }
    }

    @Test
    void givesSinglePlacesToAllInTurn() {
        int[] sums = new int[3];
        for (long seed = 0; seed < 300; seed++) {
            int[] shares = shares(participants(5, 5, 5), 1, seed);
            IntStream.range(0, sums.length).forEach(i -> sums[i] += shares[i]);
        }
        assertThat(IntStream.of(sums).min().orElseThrow()).isGreaterThan(60);
    }

    @Test
    void givesAGroupTheSharesOfItsGateways() {
        List<Participant> participants = List.of(new Participant("g", 1, 90), new Participant("cell", 3, 90));
        assertThat(shares(participants, 40, 0)).containsExactly(10, 30);
    }
}
