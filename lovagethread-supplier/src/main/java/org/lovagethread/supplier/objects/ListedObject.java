package org.lovagethread.supplier.objects;

/**
 * Describes one object found by a listing.
 *
 * @param path the path of the object
 * @param version its version
 * @param value its value as text
 */
public record ListedObject(String path, long version, String value) {}
