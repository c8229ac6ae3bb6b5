package org.lovagethread.bench;

import java.util.SplittableRandom;

/** Lists the mixes of calls of both deployments. */
enum Workload {
    /** Flooding schedules from long logbooks, quick questions, and tags of weather notes. */
    ICE_KEEPERS(8, 790, 0.25, 0.45, 2_400, 240, 60, 15.0),
    /** Recommendations from long fabric specifications, quick questions, and tags of mill notes. */
    INDUS(6, 1_500, 0.40, 0.40, 3_600, 300, 40, 7.0);

    private static final int DOCUMENT_TAIL_TOKENS = 120;
    private static final int QUESTION_OUTPUT = 60;
    private static final int QUESTION_TOKENS = 180;
    private static final int TAG_OUTPUT = 10;
    private static final int TAG_TOKENS = 90;

    private final int engines;
    private final int firstTokenMillis;
    private final double documentShare;
    private final double questionShare;
    private final int documentTokens;
    private final int documentOutput;
    private final int documents;
    private final double callsPerSecond;

    Workload(
            int engines,
            int firstTokenMillis,
            double documentShare,
            double questionShare,
            int documentTokens,
            int documentOutput,
            int documents,
            double callsPerSecond) {
        this.engines = engines;
        this.firstTokenMillis = firstTokenMillis;
        this.documentShare = documentShare;
        this.questionShare = questionShare;
        this.documentTokens = documentTokens;
        this.documentOutput = documentOutput;
        this.documents = documents;
        this.callsPerSecond = callsPerSecond;
    }

    /**
     * One call of the workload.
     *
     * @param prefix the name of the prefix that its prompt shares with others
     * @param prefixTokens the length of that prefix
     * @param promptTokens the length of the prompt
     * @param outputTokens the length of the answer
     */
    record Draw(String prefix, int prefixTokens, int promptTokens, int outputTokens) {}

    double callsPerSecond() {
        return callsPerSecond;
    }

    Draw draw(SplittableRandom random) {
        double kind = random.nextDouble();
        if (kind < documentShare) {
            int document = (int) (documents * Math.pow(random.nextDouble(), 2));
            return new Draw(
                    "document-" + document,
                    documentTokens,
                    documentTokens + DOCUMENT_TAIL_TOKENS,
                    documentOutput / 2 + random.nextInt(documentOutput));
        }
        boolean question = kind < documentShare + questionShare;
        return question
                ? new Draw("question", QUESTION_TOKENS / 2, QUESTION_TOKENS, QUESTION_OUTPUT)
                : new Draw("tag", TAG_TOKENS / 2, TAG_TOKENS, TAG_OUTPUT);
    }

    int engines() {
        return engines;
    }

    int firstTokenMillis() {
        return firstTokenMillis;
    }
}
