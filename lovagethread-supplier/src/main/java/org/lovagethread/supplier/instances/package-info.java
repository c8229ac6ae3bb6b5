/** Clients of the instance list and of the Cloud API's reclaim notices. */
package org.lovagethread.supplier.instances;
