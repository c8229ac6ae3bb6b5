package org.lovagethread.supplier.objects;

/**
 * Entry of one node in the node directory.
 *
 * @param node the name of the node
 * @param address the host and port for callers
 * @param peerAddress the host and port for peers
 * @param zone the availability zone
 * @param incarnation the start time of the process
 * @param notAfterMillis the time after which the entry is expired, in milliseconds since the epoch
 */
public record NodeEntry(
        String node, String address, String peerAddress, String zone, long incarnation, long notAfterMillis) {}
