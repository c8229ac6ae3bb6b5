package org.lovagethread.supplier;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Message digests in hexadecimal. */
public final class Digests {

    private Digests() {}

    /**
     * Computes the SHA-256 digest of a byte array.
     *
     * @param bytes the bytes; may be empty
     * @return the digest in lower-case hexadecimal
     */
    public static String sha256Hex(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
