/** Object model of the configuration that operators declare in the configuration sheet. */
package org.lovagethread.core.config;
