package org.lovagethread.supplier.instances;

/**
 * Announces that the platform will reclaim an instance.
 *
 * @param sequence the number of the notice
 * @param instance the identifier of the instance
 * @param deadlineMillis the time of the reclaim in milliseconds since the epoch
 */
public record ReclaimNotice(long sequence, String instance, long deadlineMillis) {}
