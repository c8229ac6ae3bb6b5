/** Cluster-wide tasks that are performed by one gateway at a time. */
package org.lovagethread.gateway.duty;
