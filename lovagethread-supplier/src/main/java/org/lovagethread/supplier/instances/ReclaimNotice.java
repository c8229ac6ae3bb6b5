package org.lovagethread.supplier.instances;

/**
 * Notice that the platform will reclaim an instance.
 *
 * @param sequence the sequence number of the notice
 * @param instance the identifier of the instance
 * @param deadlineMillis the time of the reclaim in milliseconds since the epoch
 */
public record ReclaimNotice(long sequence, String instance, long deadlineMillis) {}
