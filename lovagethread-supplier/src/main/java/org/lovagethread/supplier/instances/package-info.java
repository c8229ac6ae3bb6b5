/** Client of the instance list and of the reclaim notices of the Cloud API. */
package org.lovagethread.supplier.instances;
