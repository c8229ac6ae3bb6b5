/** Clients of the platform that the nodes run on: Object API, Cloud API and instance list, and the forms kept there. */
package org.lovagethread.supplier;
