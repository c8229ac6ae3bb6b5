package org.lovagethread.core.config;

import org.lovagethread.core.Checks;

/**
 * A priority class of the calls to a service.
 *
 * @param name the name by which requests select the class
 * @param service the name of the service
 * @param priority the priority passed to engines; calls with a larger value are scheduled first
 */
public record PriorityClass(String name, String service, int priority) {

    /** Validates the components. */
    public PriorityClass {
        Checks.notBlank(name, "priority class name");
        Checks.notBlank(service, "service of the priority class");
        Checks.inRange(priority, 0, 9, "priority");
    }
}
