/** Messages between nodes and their transport over TCP with Netty and protobuf. */
package org.lovagethread.wire;
