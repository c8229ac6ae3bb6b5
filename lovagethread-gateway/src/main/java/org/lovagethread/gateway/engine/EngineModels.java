package org.lovagethread.gateway.engine;

import java.util.HashMap;
import java.util.Map;

/** Performance models of the engines of all services. Not thread-safe. */
public final class EngineModels {
    private final Map<String, EngineModel> byService = new HashMap<>();

    /**
     * Returns the model of the engines of a service.
     *
     * @param service the name of the service
     * @return the model, a new one if the service had none
     */
    public EngineModel of(String service) {
        return byService.computeIfAbsent(service, name -> new EngineModel());
    }

    /**
     * Returns all models.
     *
     * @return the models by the name of the service
     */
    public Map<String, EngineModel> all() {
        return byService;
    }
}
