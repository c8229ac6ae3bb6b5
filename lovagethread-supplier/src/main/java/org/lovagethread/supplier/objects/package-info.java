/** Client of the Object API and typed access to the objects that the system keeps there. */
package org.lovagethread.supplier.objects;
