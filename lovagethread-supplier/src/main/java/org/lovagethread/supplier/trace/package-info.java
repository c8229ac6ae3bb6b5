/** File format of recorded traces. */
package org.lovagethread.supplier.trace;
