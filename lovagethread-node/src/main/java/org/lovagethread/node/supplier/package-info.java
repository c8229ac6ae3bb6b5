/**
 * Workers that communicate with the platform and the engines: claims, leases, configuration, instances, reclaim notices,
 * orders and the directory of nodes.
 */
package org.lovagethread.node.supplier;
