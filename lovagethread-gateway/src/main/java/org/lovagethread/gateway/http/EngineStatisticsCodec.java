package org.lovagethread.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.engine.EngineStatistics;
import org.lovagethread.wire.generated.EngineSums;

/** Encodes and decodes the statistics of engines in messages between gateways. */
final class EngineStatisticsCodec {
    private EngineStatisticsCodec() {}

    /**
     * Encodes statistics of all models that have any.
     *
     * @param models the models
     * @param selector selects the statistics of a model
     * @return one message for each service
     */
    static List<EngineSums> encode(EngineModels models, Function<EngineModel, EngineStatistics> selector) {
        List<EngineSums> messages = new ArrayList<>();
        models.all().forEach((service, model) -> {
            EngineStatistics statistics = selector.apply(model);
            if (!statistics.isEmpty()) {
                messages.add(EngineSums.newBuilder()
                        .setService(service)
                        .addAllSums(statistics.values())
                        .build());
            }
        });
        return messages;
    }

    /**
     * Replaces the statistics reported by a peer. Those of a peer of another version are ignored.
     *
     * @param messages the messages, one for each service
     * @param peer the name and incarnation of the peer
     * @param models the models to update
     * @param nowMillis the current time in milliseconds
     */
    static void applyPeer(List<EngineSums> messages, String peer, EngineModels models, long nowMillis) {
        for (EngineSums message : messages) {
            EngineStatistics.of(message.getSumsList())
                    .ifPresent(statistics -> models.of(message.getService()).updatePeer(peer, statistics, nowMillis));
        }
    }
}
