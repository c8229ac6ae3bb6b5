package org.lovagethread.core.upstream;

/** Holds what this node knows about one upstream, including the attempts that it has there itself. */
public final class Upstream {
    private static final long FIRST_AVOIDANCE_MILLIS = 200;
    private static final long LONGEST_AVOIDANCE_MILLIS = 10_000;

    private UpstreamInfo info;
    private int inFlight;
    private int failuresInRow;
    private long avoidUntilMillis;

    Upstream(UpstreamInfo info) {
        this.info = info;
    }

    /**
     * Tests whether recent failures keep new work away.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return true until the avoidance deadline
     */
    public boolean avoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /**
     * Returns the identifier of the instance.
     *
     * @return the identifier
     */
    public String id() {
        return info.id();
    }

    /**
     * Returns the number of attempts that this node has in flight there.
     *
     * @return the number of attempts
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the last description from the instance list.
     *
     * @return the description
     */
    public UpstreamInfo info() {
        return info;
    }

    void ended() {
        inFlight--;
    }

    void failed(long nowMillis) {
        long avoidance = FIRST_AVOIDANCE_MILLIS << Math.min(failuresInRow, 10);
        failuresInRow++;
        avoidUntilMillis = nowMillis + Math.min(avoidance, LONGEST_AVOIDANCE_MILLIS);
    }

    void started() {
        inFlight++;
    }

    void succeeded() {
        failuresInRow = 0;
        avoidUntilMillis = 0;
    }

    void update(UpstreamInfo latest) {
        info = latest;
    }
}
