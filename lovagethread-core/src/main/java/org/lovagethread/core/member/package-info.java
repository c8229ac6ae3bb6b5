/** Membership of the nodes: heartbeats, suspicion, incarnation numbers and addresses for callers. */
package org.lovagethread.core.member;
