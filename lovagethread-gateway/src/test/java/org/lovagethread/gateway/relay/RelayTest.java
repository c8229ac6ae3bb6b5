package org.lovagethread.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.wire.generated.RelayFrame;

class RelayTest extends RelayFixture {
    @Nested
    class CompleteResponses {
        @Test
        void areUnchanged() throws Exception {
            addServer();
            target.script =
                    run -> run.caller.sendResponse(new HttpResponseStatus(299, "Fine"), sealed(), bytes("answer"));
            FakeCaller caller = relay();
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("299 Fine answer");
            assertThat(caller.headers).isEqualTo(sealed());
        }

        @Test
        void belongToTheUnchangedRequest() throws Exception {
            addServer();
            relay();
            FakeTarget.Run run = awaitRun();
            assertThat(run.header.method()).isEqualTo(HttpMethod.POST);
            assertThat(run.header.uri()).isEqualTo("/x?a=b");
            assertThat(run.header.headers()).isEqualTo(header().headers());
            assertThat(run.body.toString(StandardCharsets.UTF_8)).isEqualTo("question");
        }

        @Test
        void arriveWithTheLargestBodies() throws Exception {
            addServer();
            ByteBuf question = Unpooled.buffer(FakeTarget.MAX_BODY_BYTES).writeZero(FakeTarget.MAX_BODY_BYTES);
            String answer = "a".repeat(1 << 20);
            target.script = run -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes(answer));
            FakeCaller caller = relay(question, TIMEOUT_MILLIS);
            await(() -> caller.ended);
            assertThat(target.runs.get(0).body.readableBytes()).isEqualTo(FakeTarget.MAX_BODY_BYTES);
            assertThat(caller.response()).isEqualTo("200 OK " + answer);
        }

        @Test
        void areErrorsOfThePeer() throws Exception {
            addServer();
            target.script = run -> run.caller.sendError(ErrorKind.RATE_LIMITED, 1_234);
            FakeCaller caller = relay();
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("429 rate-limited");
            assertThat(caller.retryAfterMillis).isEqualTo(1_234);
        }

        @Test
        void areErrorsOfUnknownOutcomeAfterAnExceptionAtThePeer() throws Exception {
            addServer();
            target.script = run -> {
                throw new IllegalStateException("failing target");
            };
            FakeCaller caller = relay();
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("502 upstream-failed");
        }
    }

    @Nested
    class Streams {
        @Test
        void arriveEventByEvent() throws Exception {
            addServer();
            FakeCaller caller = relay();
            FakeTarget.Run run = awaitRun();
            runOnLoop(() -> run.caller.startStream(HttpResponseStatus.OK, sealed()));
            for (String event : List.of("id: 1\n\n", "id: 2\n\n")) {
                int flushes = caller.flushes.get();
                runOnLoop(() -> {
                    run.caller.addStreamData(bytes(event));
                    run.caller.flushStream();
                });
                await(() -> caller.streamed().endsWith(event) && caller.flushes.get() > flushes);
            }
            runOnLoop(run.caller::endStream);
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("200 stream complete");
            assertThat(caller.streamed()).isEqualTo("id: 1\n\nid: 2\n\n");
            assertThat(caller.headers).isEqualTo(sealed());
        }

        @Test
        void areAbortedAtTheCallerAfterTheEventsBefore() throws Exception {
            addServer();
            target.script = run -> {
                run.caller.startStream(HttpResponseStatus.OK, sealed());
                run.caller.addStreamData(bytes("id: 1\n\n"));
                run.caller.abort();
            };
            FakeCaller caller = relay();
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("200 stream aborted");
            assertThat(caller.streamed()).isEqualTo("id: 1\n\n");
        }

        private void send(FakeTarget.Run run, ByteBuf event) {
            run.caller.addStreamData(event);
            run.paused = !run.caller.flushStream();
        }

        @Test
        void ofASlowCallerHoldUpTheUpstreamButNoOtherRequest() throws Exception {
            addServer();
            FakeCaller slow = relay(bytes("slow"), TIMEOUT_MILLIS);
            FakeTarget.Run run = awaitRun();
            slow.writable = false;
            runOnLoop(() -> run.caller.startStream(HttpResponseStatus.OK, sealed()));
            await(() -> slow.flushes.get() > 0);
            ByteBuf event = Unpooled.buffer(65_536).writeZero(65_536);
            int sent = 0;
            while (!run.paused && sent < 1_000) {
                runOnLoop(() -> send(run, event.duplicate()));
                sent++;
                Thread.sleep(1);
            }
            assertThat(run.paused).isTrue();
            target.script = other -> other.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("quick"));
            FakeCaller quick = relay();
            await(() -> quick.ended);
            assertThat(quick.response()).isEqualTo("200 OK quick");
            Thread.sleep(2 * TIMEOUTS.silenceMillis());
            assertThat(slow.ended).isFalse();
            slow.writable = true;
            runOnLoop(slow.activeRequest::onCallerWritable);
            await(() -> !run.paused);
            runOnLoop(run.caller::endStream);
            await(() -> slow.ended);
            assertThat(slow.response()).isEqualTo("200 stream complete");
            assertThat(slow.streamed()).hasSize(sent * 65_536);
        }

        @Test
        void mayPauseForLongerThanASilentConnection() throws Exception {
            addServer();
            FakeCaller caller = relay();
            FakeTarget.Run run = awaitRun();
            runOnLoop(() -> run.caller.startStream(HttpResponseStatus.OK, sealed()));
            Thread.sleep(2 * TIMEOUTS.silenceMillis());
            assertThat(run.callerLeft).isFalse();
            runOnLoop(run.caller::endStream);
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("200 stream complete");
        }
    }

    @Nested
    class CancelledRequests {
        @Test
        void areCancelledAtThePeerAtOnce() throws Exception {
            addServer();
            FakeCaller caller = relay();
            FakeTarget.Run run = awaitRun();
            runOnLoop(caller.activeRequest::onCallerDisconnected);
            await(() -> run.callerLeft);
            assertThat(callOnLoop(server::activeRequests)).isZero();
        }

        @Test
        void areNotSentAfterTheOfferIsAccepted() throws Exception {
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) -> connection.send(acceptance()))) {
                FakeCaller caller = callOnLoop(() -> {
                    FakeCaller cancelling = startRelay(bytes("question"), TIMEOUT_MILLIS);
                    cancelling.activeRequest.onCallerDisconnected();
                    return cancelling;
                });
                peers.clear();
                addServer();
                relay();
                awaitRun();
                assertThat(peer.received).noneMatch(RelayFrame::hasRequest);
                assertThat(caller.response()).isEmpty();
            }
        }
    }

    @Nested
    class Deadlines {
        @Test
        void areSentAsTheTimeThatIsLeft() throws Exception {
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) -> connection.send(acceptance()))) {
                relay(bytes("question"), TIMEOUT_MILLIS);
                await(() -> peer.received.size() > 1);
                assertThat(peer.received.get(1).getRequest().getRemainingMillis())
                        .isBetween(TIMEOUT_MILLIS / 2, TIMEOUT_MILLIS - Relay.RETURN_MILLIS);
            }
        }

        @Test
        void areSetAtThePeerFromTheTimeThatIsLeft() throws Exception {
            addServer();
            relay(bytes("question"), TIMEOUT_MILLIS);
            FakeTarget.Run run = awaitRun();
            assertThat(run.deadlineMillis - clock.nowMillis())
                    .isBetween(TIMEOUT_MILLIS / 2, TIMEOUT_MILLIS - Relay.RETURN_MILLIS);
        }

        @Test
        void endRequestsThatMayHaveRun() throws Exception {
            addServer();
            FakeCaller caller = relay(bytes("question"), 1_500);
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("504 deadline-after-send");
            await(() -> target.runs.get(0).callerLeft);
        }

        @Test
        void endRequestsThatHaveNotRun() throws Exception {
            try (ScriptedPeer peer = addScriptedPeer((frame, connection) -> {})) {
                FakeCaller caller = relay(bytes("question"), 200);
                await(() -> caller.ended);
                assertThat(caller.response()).isEqualTo("503 overloaded");
                assertThat(peer.received).noneMatch(RelayFrame::hasRequest);
            }
        }
    }

    @Nested
    class Shutdowns {
        @Test
        void ofThePeerLeadToAnotherPeerIfTheRequestHasNotRun() throws Exception {
            addServer();
            FakeCaller caller = relay();
            awaitRun();
            runOnLoop(() -> server.shutDown(clock.nowMillis()));
            await(() -> caller.ended);
            assertThat(caller.response()).isEqualTo("503 no-upstream");
        }

        @Test
        void ofThisGatewayLeaveTheOutcomeUnknown() throws Exception {
            addServer();
            FakeCaller caller = relay();
            FakeTarget.Run run = awaitRun();
            runOnLoop(() -> caller.activeRequest.onShutdown(clock.nowMillis()));
            await(() -> run.callerLeft);
            assertThat(caller.response()).isEqualTo("504 outcome-unknown");
        }

        @Test
        void waitForAcceptedRequests() throws Exception {
            addServer();
            List<Integer> active = new ArrayList<>();
            target.script = run -> active.add(server.activeRequests());
            FakeCaller caller = relay();
            FakeTarget.Run run = awaitRun();
            assertThat(active).containsExactly(1);
            runOnLoop(() -> run.caller.sendResponse(HttpResponseStatus.OK, sealed(), bytes("answer")));
            await(() -> caller.ended);
            assertThat(callOnLoop(server::activeRequests)).isZero();
        }
    }

    @Nested
    class OtherConnections {
        private String firstBytes(byte[] bytes) throws Exception {
            CompletableFuture<String> received = new CompletableFuture<>();
            EmbeddedChannel channel = new EmbeddedChannel();
            channel.pipeline().addLast(new RelayDetector(server, () -> channel.pipeline()
                    .addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf data) {
                            received.complete(data.toString(StandardCharsets.US_ASCII));
                        }
                    })));
            for (byte value : bytes) {
                channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {value}));
            }
            return received.get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Test
        void areSetUpWithAllTheirBytes() throws Exception {
            assertThat(firstBytes("GET ".getBytes(StandardCharsets.US_ASCII))).isEqualTo("GET ");
        }
    }
}
