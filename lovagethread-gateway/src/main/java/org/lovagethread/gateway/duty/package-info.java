/** Work that one gateway at a time does for all. */
package org.lovagethread.gateway.duty;
