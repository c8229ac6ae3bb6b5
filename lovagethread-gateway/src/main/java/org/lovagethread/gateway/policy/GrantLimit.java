package org.lovagethread.gateway.policy;

/**
 * Limits the grants of one gateway that its peers do not know yet to its part of the level of a customer's bucket.
 *
 * <p>The part consists of the tokens that the gateway is expected to grant at its reported rate, and of a share of the
 * remaining level. The shares follow the reported rates above an even minimum. As all gateways know about the same
 * rates, the parts of all of them add up to the level.
 */
final class GrantLimit {
    /** Part of the expected grants that is divided evenly, so that gateways without traffic can grant during overload. */
    private static final double EVEN_PART_OF_EXPECTED = 0.25;

    /** Part of the remaining level that is divided evenly. */
    private static final double EVEN_PART_OF_REMAINING = 0.5;

    private final double ownRate;
    private final double totalRate;
    private final double gateways;

    /**
     * Creates a limit.
     *
     * @param ownRate the rate at which this gateway granted tokens according to reports that all peers have received,
     *     in tokens per millisecond
     * @param totalRate the rate of all gateways
     * @param gateways the number of gateways that share the level; at least one
     */
    GrantLimit(double ownRate, double totalRate, double gateways) {
        this.ownRate = ownRate;
        this.totalRate = totalRate;
        this.gateways = gateways;
    }

    /**
     * Returns the number of tokens that this gateway may have granted without the knowledge of its peers.
     *
     * @param level the level before the grants that are not known to all gateways
     * @param expectedTokens the tokens that all gateways together are expected to have granted unknown to others
     * @return the number of tokens
     */
    double tokens(double level, double expectedTokens) {
        double expected = Math.min(Math.max(0, level), expectedTokens);
        double remaining = Math.max(0, level - expected);
        return expected * share(EVEN_PART_OF_EXPECTED) + remaining * share(EVEN_PART_OF_REMAINING);
    }

    private double share(double evenPart) {
        double weight = totalRate > 0 ? ownRate / totalRate : 1.0 / gateways;
        return (1.0 - evenPart) * weight + evenPart / gateways;
    }
}
