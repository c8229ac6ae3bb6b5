/** Client that sends orders to model engines. */
package org.lovagethread.supplier.engines;
