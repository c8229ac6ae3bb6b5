/** Cluster membership: heartbeats, failure detection, incarnation numbers and the addresses returned to callers. */
package org.lovagethread.core.member;
