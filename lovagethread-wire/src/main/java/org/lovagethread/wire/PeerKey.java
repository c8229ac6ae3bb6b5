package org.lovagethread.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.lovagethread.core.Checks;

/** Holds the secret that all nodes share, and proves its possession without sending it. */
public final class PeerKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /**
     * Creates the key from its text.
     *
     * @param secret the shared secret
     * @throws IllegalArgumentException if {@code secret} is blank
     */
    public PeerKey(String secret) {
        key = new SecretKeySpec(Checks.notBlank(secret, "peer key").getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /**
     * Draws random bytes for a handshake.
     *
     * @return a fresh nonce
     */
    public byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Signs the other side's nonce.
     *
     * @param nonce the nonce of the receiver of the signature
     * @param node the name of the signer
     * @return the signature
     */
    public byte[] sign(byte[] nonce, String node) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(nonce);
            return mac.doFinal(node.getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the platform lacks " + ALGORITHM, e);
        }
    }

    /**
     * Tests whether a signature was made with this key.
     *
     * @param nonce the nonce that was sent
     * @param node the name that the signer stated
     * @param signature the signature received
     * @return true if it is right
     */
    public boolean verify(byte[] nonce, String node, byte[] signature) {
        return MessageDigest.isEqual(sign(nonce, node), signature);
    }
}
