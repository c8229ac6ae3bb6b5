package org.lovagethread.bench;

import java.util.SplittableRandom;

/** The mix of calls of a deployment: long documents, short questions and short tags. */
enum Workload {
    /** Flooding schedules derived from long logbooks, short questions, and tags for weather notes. */
    ICE_KEEPERS(8, 790, 0.25, 0.45, 2_400, 240, 60, 15.0),
    /** Recommendations derived from long fabric specifications, short questions, and tags for mill notes. */
    INDUS(6, 1_500, 0.40, 0.40, 3_600, 300, 40, 7.0);

    private static final int DOCUMENT_SUFFIX_TOKENS = 120;
    private static final int QUESTION_OUTPUT_TOKENS = 60;
    private static final int QUESTION_TOKENS = 180;
    private static final int TAG_OUTPUT_TOKENS = 10;
    private static final int TAG_TOKENS = 90;

    private final int engineCount;
    private final int targetFirstTokenMillis;
    private final double documentShare;
    private final double questionShare;
    private final int documentTokens;
    private final int meanDocumentOutputTokens;
    private final int documentCount;
    private final double callsPerSecond;

    Workload(
            int engineCount,
            int targetFirstTokenMillis,
            double documentShare,
            double questionShare,
            int documentTokens,
            int meanDocumentOutputTokens,
            int documentCount,
            double callsPerSecond) {
        this.engineCount = engineCount;
        this.targetFirstTokenMillis = targetFirstTokenMillis;
        this.documentShare = documentShare;
        this.questionShare = questionShare;
        this.documentTokens = documentTokens;
        this.meanDocumentOutputTokens = meanDocumentOutputTokens;
        this.documentCount = documentCount;
        this.callsPerSecond = callsPerSecond;
    }

    /**
     * A call drawn at random from the workload.
     *
     * @param prefix the name of the prompt prefix, which other calls share
     * @param prefixTokens the length of the prefix in tokens
     * @param promptTokens the length of the complete prompt in tokens
     * @param outputTokens the length of the response in tokens
     */
    record CallSample(String prefix, int prefixTokens, int promptTokens, int outputTokens) {}

    double callsPerSecond() {
        return callsPerSecond;
    }

    CallSample sampleCall(SplittableRandom random) {
        double roll = random.nextDouble();
        if (roll < documentShare) {
            int documentIndex = (int) (documentCount * Math.pow(random.nextDouble(), 2));
            return new CallSample(
                    "document-" + documentIndex,
                    documentTokens,
                    documentTokens + DOCUMENT_SUFFIX_TOKENS,
                    meanDocumentOutputTokens / 2 + random.nextInt(meanDocumentOutputTokens));
        }
        boolean isQuestion = roll < documentShare + questionShare;
        return isQuestion
                ? new CallSample("question", QUESTION_TOKENS / 2, QUESTION_TOKENS, QUESTION_OUTPUT_TOKENS)
                : new CallSample("tag", TAG_TOKENS / 2, TAG_TOKENS, TAG_OUTPUT_TOKENS);
    }

    int engineCount() {
        return engineCount;
    }

    int targetFirstTokenMillis() {
        return targetFirstTokenMillis;
    }
}
