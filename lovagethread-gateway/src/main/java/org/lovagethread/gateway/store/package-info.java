/** Access to the platform's object store, which holds the persistent state. */
package org.lovagethread.gateway.store;
