package org.lovagethread.supplier.objects;

/**
 * Object returned by a list operation.
 *
 * @param path the path of the object
 * @param version the version of the object
 * @param value the value of the object as text
 */
public record ListedObject(String path, long version, String value) {}
