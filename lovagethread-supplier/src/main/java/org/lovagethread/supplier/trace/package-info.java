/** The file form of recorded traces. */
package org.lovagethread.supplier.trace;
