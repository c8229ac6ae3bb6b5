package org.lovagethread.supplier.sheet;

import java.util.List;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.config.Customer;
import org.lovagethread.core.config.PriorityClass;
import org.lovagethread.core.config.Service;

/**
 * Declarations of a configuration sheet.
 *
 * @param digest the SHA-256 digest of the sheet in hexadecimal
 * @param services the services
 * @param customers the customers
 * @param classes the priority classes
 */
public record Sheet(String digest, List<Service> services, List<Customer> customers, List<PriorityClass> classes) {

    /** Copies the lists. */
    public Sheet {
        services = List.copyOf(services);
        customers = List.copyOf(customers);
        classes = List.copyOf(classes);
    }

    /**
     * Returns the declarations as a revision of the configuration.
     *
     * @param revision the number of the revision
     * @return the configuration
     */
    public Configuration toConfiguration(long revision) {
        return new Configuration(revision, digest, services, customers, classes);
    }
}
