/** Error kinds and the corresponding error responses. */
package org.lovagethread.core.error;
