package org.lovagethread.supplier.objects;

/**
 * Describes one node in the directory of nodes.
 *
 * @param node the name of the node
 * @param address the host and port for callers
 * @param peerAddress the host and port for peers
 * @param zone the availability zone
 * @param incarnation the start time of the process
 * @param notAfterMillis the time after which the entry is out of date, in milliseconds since the epoch
 */
public record NodeEntry(
        String node, String address, String peerAddress, String zone, long incarnation, long notAfterMillis) {}
