/** Parser of the configuration sheet. */
package org.lovagethread.supplier.sheet;
