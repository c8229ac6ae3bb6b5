/** Client of the orders that model engines take. */
package org.lovagethread.supplier.engines;
