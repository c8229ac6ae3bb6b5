package org.lovagethread.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Simulates a model engine: it uses continuous batching, caches prompt prefixes, schedules by priority, streams chunks
 * that can be resumed and cancelled, exports and imports KV cache, and accepts orders with fencing tokens.
 *
 * <p>{@code POST /control} accepts {@code stepMillis}, {@code refuseImport}, {@code frozen} (the batch loop pauses),
 * {@code checkFencing} and {@code exit}. It also accepts the number of streams to which a fault applies: {@code cross}
 * (a chunk has the identifier of another request), {@code cutWithoutEnd} (the response ends without the end marker) and
 * {@code reset} (the connection is reset).
 */
public final class Engine {
    private static final int BATCH_SLOTS = 16;
    private static final int CACHE_BLOCK_CHARACTERS = 64;
    private static final int MAX_CACHE_BLOCKS = 4_096;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int FAULT_CHUNK_NUMBER = 3;
    private static final int VERSION_LOAD_MILLIS = 300;
    private static final int PREFILL_TOKENS_PER_STEP = 512;

    private final List<EngineStream> runningStreams = new ArrayList<>();
    private final List<EngineStream> waitingStreams = new ArrayList<>();
    private final Map<String, Boolean> prefixCache = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_CACHE_BLOCKS;
        }
    };
    private final List<String> orders = new ArrayList<>();
    private final Consumer<String> versionListener;
    private boolean checkFencing;
    private boolean frozen;
    private boolean rejectImport;
    private int streamsToMislabel;
    private int streamsToTruncate;
    private int streamsToReset;
    private int stepMillis;
    private long nextArrivalSequence;
    private long computedTokens;
    private long highestFencingToken;
    private long importedTokens;
    private long recomputedTokens;
    private StandInServer server;

    /**
     * Creates an engine. Its batch loop runs after {@link #start(StandInServer)}.
     *
     * @param stepMillis the time between two tokens of a stream in milliseconds
     * @param versionListener receives the version that the engine has loaded on an order
     * @param checkFencing whether orders with a stale fencing token are rejected
     */
    public Engine(int stepMillis, boolean checkFencing, Consumer<String> versionListener) {
        this.versionListener = versionListener;
        this.stepMillis = stepMillis;
        this.checkFencing = checkFencing;
    }

    /**
     * Starts the batch loop.
     *
     * @param hostServer the server on whose event loop the batch loop runs; all state is confined to that thread
     */
    public void start(StandInServer hostServer) {
        server = hostServer;
        scheduleStep();
    }

    /**
     * Handles one request.
     *
     * @param exchange the request
     */
    public void handle(Exchange exchange) {
        String path = exchange.path();
        if (path.startsWith("/v1/kv/")) {
            handleCacheExport(exchange, path.substring("/v1/kv/".length()));
            return;
        }
        switch (path) {
            case "/v1/generate" -> handleGenerate(exchange);
            case "/v1/load" -> exchange.reply(200, loadReport());
            case "/v1/orders" -> handleOrder(exchange);
            case "/control" -> handleControl(exchange);
            case "/counters" -> exchange.reply(200, counters());
            default -> exchange.reply(404, Map.of("error", "unknown path"));
        }
    }

    private void handleControl(Exchange exchange) {
        JsonNode settings = exchange.jsonBody();
        checkFencing = settings.path("checkFencing").asBoolean(checkFencing);
        frozen = settings.path("frozen").asBoolean(frozen);
        rejectImport = settings.path("refuseImport").asBoolean(rejectImport);
        streamsToMislabel = settings.path("cross").asInt(streamsToMislabel);
        streamsToTruncate = settings.path("cutWithoutEnd").asInt(streamsToTruncate);
        streamsToReset = settings.path("reset").asInt(streamsToReset);
        stepMillis = settings.path("stepMillis").asInt(stepMillis);
        exchange.reply(200, Map.of("ok", true));
        if (settings.path("exit").asBoolean(false)) {
            Runtime.getRuntime().halt(0);
        }
    }

    private Map<String, Object> counters() {
        return Map.of(
                "computedTokens", computedTokens,
                "importedTokens", importedTokens,
                "recomputedTokens", recomputedTokens,
                "orders", orders,
                "running", runningStreams.size());
    }

    private void handleCacheExport(Exchange exchange, String requestId) {
        List<EngineStream> streams = new ArrayList<>(runningStreams);
        streams.addAll(waitingStreams);
        for (EngineStream stream : streams) {
            if (stream.requestId.equals(requestId) && !rejectImport) {
                int tokens = stream.prompt.length() / CHARACTERS_PER_TOKEN + stream.nextChunk - 1;
                exchange.reply(200, Map.of("tokens", tokens));
                return;
            }
        }
        exchange.reply(404, Map.of("error", "no KV cache for the request"));
    }

    private void handleGenerate(Exchange exchange) {
        ObjectNode body = (ObjectNode) exchange.jsonBody();
        EngineStream stream = new EngineStream(
                exchange,
                exchange.header("X-Request-Id"),
                exchange.header("X-Attempt-Id"),
                body.path("prompt").asText(),
                Math.max(1, body.path("maxTokens").asInt(16)),
                body.path("fromChunk").asInt(0),
                body.path("priority").asInt(0),
                nextArrivalSequence++);
        exchange.onClose(() -> {
            runningStreams.remove(stream);
            waitingStreams.remove(stream);
        });
        exchange.startStream();
        stream.remainingPrefillTokens = cacheMissTokens(stream);
        String sourceAddress = body.path("cacheSource").asText("");
        if (!sourceAddress.isEmpty() && !rejectImport) {
            importCache(stream, sourceAddress);
        } else {
            addRecomputedTokens(stream);
        }
        waitingStreams.add(stream);
    }

    private void addRecomputedTokens(EngineStream stream) {
        if (stream.nextChunk > 1) {
            recomputedTokens += stream.remainingPrefillTokens;
        }
    }

    private void importCache(EngineStream stream, String sourceAddress) {
        stream.importing = true;
        StandInHttpClient.get("http://" + sourceAddress + "/v1/kv/" + stream.requestId)
                .handle((response, failure) -> failure == null && response.statusCode() == 200)
                .thenAccept(imported -> server.eventLoopGroup().execute(() -> {
                    stream.importing = false;
                    if (imported) {
                        importedTokens += stream.remainingPrefillTokens;
                        stream.remainingPrefillTokens = 0;
                    } else {
                        addRecomputedTokens(stream);
                    }
                }));
    }

    private Map<String, Object> loadReport() {
        return Map.of("running", runningStreams.size(), "waiting", waitingStreams.size(), "slots", BATCH_SLOTS);
    }

    private void handleOrder(Exchange exchange) {
        JsonNode order = exchange.jsonBody();
        long fencingToken = order.path("fence").asLong();
        if (checkFencing && fencingToken < highestFencingToken) {
            exchange.reply(409, Map.of("error", "stale fencing token", "highest", highestFencingToken));
            return;
        }
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        String version = order.path("version").asText();
        orders.add(fencingToken + ":" + order.path("order").asText() + ":" + version);
        exchange.schedule(VERSION_LOAD_MILLIS, () -> versionListener.accept(version));
        exchange.reply(200, Map.of("ok", true));
    }

    private void scheduleStep() {
        server.eventLoopGroup().schedule(this::runBatchStep, stepMillis, TimeUnit.MILLISECONDS);
    }

    private void runBatchStep() {
        if (!frozen) {
            admitWaitingStreams();
            for (EngineStream stream : List.copyOf(runningStreams)) {
                advanceStream(stream);
            }
            runningStreams.removeIf(EngineStream::isEnded);
        }
        scheduleStep();
    }

    private void admitWaitingStreams() {
        waitingStreams.sort(Comparator.comparingInt((EngineStream stream) -> -stream.priority)
                .thenComparingLong(stream -> stream.arrivalSequence));
        waitingStreams.removeIf(stream -> {
            boolean admitted = !stream.importing && runningStreams.size() < BATCH_SLOTS;
            return admitted && runningStreams.add(stream);
        });
    }

    private void advanceStream(EngineStream stream) {
        if (stream.remainingPrefillTokens > 0) {
            int processed = Math.min(stream.remainingPrefillTokens, PREFILL_TOKENS_PER_STEP);
            stream.remainingPrefillTokens -= processed;
            computedTokens += processed;
            return;
        }
        if (stream.nextChunk == FAULT_CHUNK_NUMBER && injectFault(stream)) {
            return;
        }
        String chunkRequestId = stream.requestId;
        if (streamsToMislabel > 0 && stream.nextChunk == FAULT_CHUNK_NUMBER) {
            streamsToMislabel--;
            chunkRequestId = "another-" + stream.requestId;
        }
        computedTokens++;
        stream.sendNextChunk(chunkRequestId);
    }

    private boolean injectFault(EngineStream stream) {
        if (streamsToReset > 0) {
            streamsToReset--;
            runningStreams.remove(stream);
            stream.exchange.resetConnection();
            return true;
        }
        if (streamsToTruncate > 0) {
            streamsToTruncate--;
            runningStreams.remove(stream);
            stream.exchange.endStream();
            return true;
        }
        return false;
    }

    private int cacheMissTokens(EngineStream stream) {
        int missedTokens = 0;
        for (int prefixEnd = CACHE_BLOCK_CHARACTERS;
                prefixEnd <= stream.prompt.length();
                prefixEnd += CACHE_BLOCK_CHARACTERS) {
            String block =
                    Integer.toHexString(stream.prompt.substring(0, prefixEnd).hashCode()) + ':' + prefixEnd;
            if (prefixCache.put(block, true) == null) {
                missedTokens += CACHE_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
            }
        }
        return missedTokens + Math.max(0, stream.nextChunk - 1);
    }
}
