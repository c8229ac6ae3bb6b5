package org.lovagethread.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class GzipTest {

    @Test
    void restoresLargeConfigurationFromLessThanATenth() throws IOException {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < 1_500; i++) {
            routes.append("{\"name\":\"r-").append(i).append("\",\"hostname\":\"site.example\",\"timeout_ms\":2000},");
        }
        ByteString plain = ByteString.copyFromUtf8(routes.toString());
        ByteString compressed = Gzip.compress(plain);
        assertThat(compressed.size()).isLessThan(plain.size() / 10);
        assertThat(Gzip.decompress(compressed)).isEqualTo(plain);
    }

    @Test
    void rejectsUncompressedData() {
        assertThatThrownBy(() -> Gzip.decompress(ByteString.copyFromUtf8("plain")))
                .isInstanceOf(IOException.class);
    }
}
