package org.lovagethread.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.lovagethread.core.Checks;

/** Secret shared by all nodes, whose possession a node proves by HMAC signatures without sending it. */
public final class PeerKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /**
     * Creates a key from the shared secret.
     *
     * @param secret the shared secret
     * @throws IllegalArgumentException if {@code secret} is blank
     */
    public PeerKey(String secret) {
        key = new SecretKeySpec(Checks.notBlank(secret, "peer key").getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /**
     * Generates a random nonce for a handshake.
     *
     * @return a new nonce
     */
    public byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Signs the nonce of the other node together with the name of the signer.
     *
     * @param nonce the nonce sent by the receiver of the signature
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
            throw new IllegalStateException("MAC algorithm not available: " + ALGORITHM, e);
        }
    }

    /**
     * Returns whether a signature was made with this key.
     *
     * @param nonce the nonce sent to the signer
     * @param node the name stated by the signer
     * @param signature the signature received
     * @return true if the signature is valid
     */
    public boolean verify(byte[] nonce, String node, byte[] signature) {
        return MessageDigest.isEqual(sign(nonce, node), signature);
    }
}
