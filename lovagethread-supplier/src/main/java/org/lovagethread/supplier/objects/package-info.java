/** Client of the Object API, with typed access to the objects stored in it. */
package org.lovagethread.supplier.objects;
