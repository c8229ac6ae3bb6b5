/** Reader of INI settings files, whose errors name the file, line and key. */
package org.lovagethread.supplier.settings;
