/** Duties that talk to the platform: claims, configuration, instances, notices and the directory of nodes. */
package org.lovagethread.node.supplier;
