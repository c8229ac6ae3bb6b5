/** Reading of INI settings files with errors that name file, line and key. */
package org.lovagethread.supplier.settings;
