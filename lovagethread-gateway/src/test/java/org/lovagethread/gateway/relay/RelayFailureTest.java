package org.lovagethread.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.wire.generated.RelayFrame;
import org.lovagethread.wire.generated.RelayRefusalReason;

class RelayFailureTest extends RelayFixture {
    @Nested
    class BrokenConnections {
        @Test
        void leadToAnotherPeerBeforeTheRequestIsSent() throws Exception {
            addDistantServer();
            target.script = run -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("answer"));
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) -> connection.reset())) {
                FakeCaller caller = relay();
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("200 OK answer");
                assertThat(peer.connections).hasValue(1);
            }
        }

        @Test
        void leadToAnotherPeerIfTheyCannotBeEstablished() throws Exception {
            addDistantServer();
            target.script = run -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("answer"));
            ScriptedPeer gone = addScriptedPeer((frame, connection) -> {});
            gone.close();
            FakeCaller caller = relay();
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("200 OK answer");
        }

        @Test
        void leadToAnotherPeerIfTheOfferIsNotAcceptedInTime() throws Exception {
            addDistantServer();
            target.script = run -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("answer"));
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) -> {})) {
                FakeCaller caller = relay();
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("200 OK answer");
                assertThat(peer.received).noneMatch(RelayFrame::hasRequest);
            }
        }

        @Test
        void leadToAnotherPeerIfThisOneKnowsNoRelayConnections() throws Exception {
            addDistantServer();
            target.script = run -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("answer"));
            byte[] refusal = "HTTP/1.1 400 Bad Request\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            try (ScriptedPeer peer = addScriptedPeer(
                    (frame, connection) -> connection.socket().getOutputStream().write(refusal))) {
                FakeCaller caller = relay();
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("200 OK answer");
                assertThat(peer.received).noneMatch(RelayFrame::hasRequest);
            }
        }

        private void assertUnknownOutcome(ScriptedPeer.Script script) throws Exception {
            addDistantServer();
            try (ScriptedPeer peer = addScriptedPeer(script)) {
                FakeCaller caller = relay();
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("502 upstream-failed");
                assertThat(target.runs).isEmpty();
            }
        }

        @Test
        void leaveTheOutcomeUnknownAfterTheRequestIsSent() throws Exception {
            assertUnknownOutcome((frame, connection) -> {
                if (frame.hasRequest()) {
                    connection.reset();
                } else {
                    connection.send(acceptance());
                }
            });
        }

        @Test
        void leaveTheOutcomeUnknownIfThePeerIsSilentAfterTheRequestIsSent() throws Exception {
            assertUnknownOutcome((frame, connection) -> {
                if (frame.hasOffer()) {
                    connection.send(acceptance());
                }
            });
        }

        @Test
        void leaveTheOutcomeUnknownIfThePeerBreaksTheProtocol() throws Exception {
            assertUnknownOutcome(
                    (frame, connection) -> connection.send(frame.hasOffer() ? acceptance() : streamData("x")));
        }

        private void assertAborted(ScriptedPeer.Script onRequest) throws Exception {
            addDistantServer();
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) -> {
                if (frame.hasOffer()) {
                    connection.send(acceptance());
                } else {
                    connection.send(streamStart());
                    connection.send(streamData("id: 1\n\n"));
                    onRequest.onFrame(frame, connection);
                }
            })) {
                FakeCaller caller = relay();
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("200 stream aborted");
                assertThat(caller.streamed()).isEqualTo("id: 1\n\n");
                assertThat(target.runs).isEmpty();
            }
        }

        @Test
        void abortAStream() throws Exception {
            assertAborted((frame, connection) -> connection.socket().close());
        }

        @Test
        void abortAStreamIfThePeerIsSilent() throws Exception {
            assertAborted((frame, connection) -> {});
        }

        @Test
        void cancelTheRequestAtThePeerIfTheSenderIsSilent() throws Exception {
            addServer();
            FakeCaller caller = relay();
            FakeTarget.Run run = awaitRun();
            callers.remove(caller);
            await(() -> run.callerLeft);
        }
    }

    @Nested
    class Refusals {
        @Test
        void leadToAnotherPeer() throws Exception {
            addDistantServer();
            target.script = run -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("answer"));
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) ->
                    connection.send(RelayRefusals.frame(RelayRefusalReason.RELAY_REFUSAL_REASON_ISOLATED)))) {
                FakeCaller caller = relay();
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("200 OK answer");
                assertThat(peer.received).noneMatch(RelayFrame::hasRequest);
            }
        }

        @Test
        void leadToAnotherPeerAfterTheRequestIsSent() throws Exception {
            addDistantServer();
            target.script = run -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("answer"));
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) -> connection.send(
                    frame.hasOffer()
                            ? acceptance()
                            : RelayRefusals.frame(RelayRefusalReason.RELAY_REFUSAL_REASON_STOPPING)))) {
                FakeCaller caller = relay();
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("200 OK answer");
                assertThat(peer.connections).hasValue(1);
            }
        }

        @Test
        void endTheRequestAsNotRunIfThereIsNoOtherPeer() throws Exception {
            addServer();
            target.refusal = Optional.of(RelayRefusalReason.RELAY_REFUSAL_REASON_ISOLATED);
            FakeCaller caller = relay();
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("503 no-upstream");
            assertThat(caller.retryAfterMillis).isPositive();
            assertThat(target.runs).isEmpty();
            assertThat(callOnLoop(server::activeRequests)).isZero();
            await(() -> logText.toString(StandardCharsets.UTF_8).contains("request-relayed"));
            assertThat(logText.toString(StandardCharsets.UTF_8))
                    .contains("\"peer\":\"127.0.0.1\"")
                    .contains("\"outcome\":\"not-accepted\"")
                    .contains("\"reason\":\"isolated\"");
        }

        @Test
        void areImmediateWithoutPeers() throws Exception {
            FakeCaller caller = relay();
            assertThat(caller.response()).isEqualTo("503 no-upstream");
            assertThat(caller.retryAfterMillis).isPositive();
        }

        @Test
        void areSentForBodiesThatAreTooLarge() throws Exception {
            addServer();
            int size = FakeTarget.MAX_BODY_BYTES + 1;
            FakeCaller caller = relay(Unpooled.buffer(size).writeZero(size), TIMEOUT_MILLIS);
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("503 no-upstream");
        }
    }
}
