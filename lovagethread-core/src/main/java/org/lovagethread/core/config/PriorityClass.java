package org.lovagethread.core.config;

import org.lovagethread.core.Checks;

/**
 * Declares one class of calls to a service.
 *
 * @param name the name that calls carry
 * @param service the service it belongs to
 * @param priority the priority passed to engines; a larger number goes first
 */
public record PriorityClass(String name, String service, int priority) {

    /** Validates the fields. */
    public PriorityClass {
        Checks.notBlank(name, "class name");
        Checks.notBlank(service, "service of the class");
        Checks.inRange(priority, 0, 9, "priority");
    }
}
