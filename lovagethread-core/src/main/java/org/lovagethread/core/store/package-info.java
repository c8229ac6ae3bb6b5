/** Typed objects that the core stores in the platform's Object API, and the results of operations on them. */
package org.lovagethread.core.store;
