package org.lovagethread.core.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.lovagethread.core.Checks;

/**
 * Holds one immutable revision of everything the operators declare.
 *
 * @param revision the number of the revision, from 1
 * @param digest the SHA-256 digest of the sheet in hexadecimal
 * @param services the declared services
 * @param customers the declared customers
 * @param classes the declared priority classes
 */
public record Configuration(
        long revision, String digest, List<Service> services, List<Customer> customers, List<PriorityClass> classes) {

    /** Validates the fields and copies the lists. */
    public Configuration {
        Checks.inRange(revision, 1, Long.MAX_VALUE, "revision");
        Objects.requireNonNull(digest, "digest");
        services = List.copyOf(services);
        customers = List.copyOf(customers);
        classes = List.copyOf(classes);
    }

    /**
     * Finds a customer.
     *
     * @param name the name to look for
     * @return the customer, or empty if it is not declared
     */
    public Optional<Customer> customer(String name) {
        return customers.stream()
                .filter(customer -> customer.name().equals(name))
                .findFirst();
    }

    /**
     * Finds the priority of a class of calls.
     *
     * @param service the service addressed
     * @param className the name of the class; an empty name has priority 0
     * @return the declared priority, or 0 if the class is not declared
     */
    public int priority(String service, String className) {
        return classes.stream()
                .filter(entry -> entry.service().equals(service) && entry.name().equals(className))
                .mapToInt(PriorityClass::priority)
                .findFirst()
                .orElse(0);
    }

    /**
     * Finds a service.
     *
     * @param name the name to look for
     * @return the service, or empty if it is not declared
     */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }
}
