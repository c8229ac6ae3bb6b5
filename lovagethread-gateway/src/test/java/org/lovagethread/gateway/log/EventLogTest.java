package org.lovagethread.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTest {

    @Test
    void writesEachLineAsJsonObject() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = new EventLog("node-1", out);
        log.start();
        log.add(log.line("request-ended")
                .put("request", "a\"b\n")
                .put("total_ms", 7)
                .put("reason", ""));
        log.close();
        JsonNode line = new ObjectMapper().readTree(out.toString(StandardCharsets.UTF_8));
        assertThat(line.path("event").asText()).isEqualTo("request-ended");
        assertThat(line.path("node").asText()).isEqualTo("node-1");
        assertThat(line.path("request").asText()).isEqualTo("a\"b\n");
        assertThat(line.path("total_ms").asInt()).isEqualTo(7);
        assertThat(line.has("reason")).isFalse();
    }

    @Test
    void dropsLinesInsteadOfBlocking() {
        CountDownLatch releaseWriter = new CountDownLatch(1);
        EventLog log = new EventLog("node-1", new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                try {
                    releaseWriter.await();
                } catch (InterruptedException e) {
                    throw new IOException("interrupted", e);
                }
            }
        });
        log.start();
        for (int i = 0; i < 20_000; i++) {
            log.add(log.line("event"));
        }
        assertThat(log.droppedLines()).isPositive();
        releaseWriter.countDown();
    }
}
