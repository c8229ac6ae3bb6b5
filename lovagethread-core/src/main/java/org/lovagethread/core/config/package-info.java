/** Typed form of the configuration that operators declare in the morning sheet. */
package org.lovagethread.core.config;
