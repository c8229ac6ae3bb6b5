/** Clients of the platform services that the nodes use, and the data formats of settings, sheets and stored objects. */
package org.lovagethread.supplier;
