/**
 * Stand-ins that simulate the external services, and a load generator. They are used by tests and demonstrations and are
 * not part of the product.
 */
package org.lovagethread.standins;
