/** Reading of the morning sheet into the typed configuration. */
package org.lovagethread.supplier.sheet;
