/** Small stand-ins for the outside systems, for tests and for trying the system out; no part of the product. */
package org.lovagethread.standins;
