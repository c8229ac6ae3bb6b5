package org.lovagethread.gateway.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Version of the configuration.
 *
 * @param version the version; later versions are greater
 * @param routes the routes
 * @param services the services by name
 * @param customersByKey the customers by API key; empty if requests carry no keys
 * @param customers all customers
 * @param limits the limits on requests of callers
 */
public record GatewayConfiguration(
        long version,
        RouteTable routes,
        Map<String, ServiceSpec> services,
        Map<String, Customer> customersByKey,
        List<Customer> customers,
        ClientLimits limits) {

    /** Creates a configuration from copies of the collections. */
    public GatewayConfiguration {
        services = Map.copyOf(services);
        customersByKey = Map.copyOf(customersByKey);
        customers = List.copyOf(customers);
    }

    /**
     * Finds a service.
     *
     * @param name the name of the service
     * @return the service, or empty if it is not defined
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
