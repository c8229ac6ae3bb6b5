package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.Core;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;

/** Simulated node: a real {@link Core} and the state kept by the other components of a node. */
final class FakeNode {
    /** Buffered stream of a call. */
    static final class Stream {
        final List<String> chunks = new ArrayList<>();
        final int fromChunk;
        FakeCaller caller;
        FakeCaller originalCaller;
        String closeReason;
        long ownerAttemptId;
        Optional<String> answer = Optional.empty();

        Stream(FakeCaller caller, int fromChunk) {
            this.caller = caller;
            this.originalCaller = caller;
            this.fromChunk = fromChunk;
        }

        int lastChunk() {
            return fromChunk + chunks.size();
        }
    }

    /** Node and call from which a stream was handed over to this node. */
    record HandOverSource(FakeNode node, long callId) {}

    final CoreSettings settings;
    final Core core;
    final Map<Long, Stream> streams = new HashMap<>();
    final Map<Long, HandOverSource> adoptedCalls = new HashMap<>();
    final Set<Long> liveAttempts = new HashSet<>();
    final List<Event> deferredEvents = new ArrayList<>();
    final List<Command> deferredCommands = new ArrayList<>();
    final List<Long> revisions = new ArrayList<>();
    boolean alive = true;
    boolean frozen;
    boolean exited;
    Class<? extends Command> freezeBeforeCommand;
    long nextCallId = 1;

    FakeNode(CoreSettings settings) {
        this.settings = settings;
        this.core = new Core(settings);
    }

    String name() {
        return settings.node();
    }

    boolean isRunning() {
        return alive && !frozen && !exited;
    }
}
