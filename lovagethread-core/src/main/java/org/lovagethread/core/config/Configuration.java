package org.lovagethread.core.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.lovagethread.core.Checks;

/**
 * An immutable revision of the configuration declared by the operators.
 *
 * @param revision the revision number, starting at 1
 * @param digest the SHA-256 digest of the configuration sheet, in hexadecimal
 * @param services the declared services
 * @param customers the declared customers
 * @param classes the declared priority classes
 */
public record Configuration(
        long revision, String digest, List<Service> services, List<Customer> customers, List<PriorityClass> classes) {

    /** Validates the components and copies the lists. */
    public Configuration {
        Checks.inRange(revision, 1, Long.MAX_VALUE, "revision");
        Objects.requireNonNull(digest, "digest");
        services = List.copyOf(services);
        customers = List.copyOf(customers);
        classes = List.copyOf(classes);
    }

    /**
     * Finds a customer by name.
     *
     * @param name the name of the customer
     * @return the customer, or empty if it is not declared
     */
    public Optional<Customer> customer(String name) {
        return customers.stream()
                .filter(customer -> customer.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the priority of a class of calls.
     *
     * @param service the name of the service
     * @param className the name of the priority class; may be empty
     * @return the declared priority, or 0 if no class with this name is declared for the service
     */
    public int priority(String service, String className) {
        return classes.stream()
                .filter(entry -> entry.service().equals(service) && entry.name().equals(className))
                .mapToInt(PriorityClass::priority)
                .findFirst()
                .orElse(0);
    }

    /**
     * Finds a service by name.
     *
     * @param name the name of the service
     * @return the service, or empty if it is not declared
     */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }
}
