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

/** One node of a scenario: a real core, and the parts of the node around it that hold state. */
final class FakeNode {
    /** The buffered stream of one call. */
    static final class Stream {
        final List<String> chunks = new ArrayList<>();
        final int from;
        FakeCaller caller;
        FakeCaller origin;
        String closing;
        long owner;
        Optional<String> answer = Optional.empty();

        Stream(FakeCaller caller, int from) {
            this.caller = caller;
            this.origin = caller;
            this.from = from;
        }

        int lastChunk() {
            return from + chunks.size();
        }
    }

    /** The call of another node that was offered to this one. */
    record Origin(FakeNode node, long callId) {}

    final CoreSettings settings;
    final Core core;
    final Map<Long, Stream> streams = new HashMap<>();
    final Map<Long, Origin> handingOver = new HashMap<>();
    final Set<Long> liveAttempts = new HashSet<>();
    final List<Event> heldEvents = new ArrayList<>();
    final List<Command> heldCommands = new ArrayList<>();
    final List<Long> revisions = new ArrayList<>();
    boolean alive = true;
    boolean frozen;
    boolean exited;
    Class<? extends Command> freezeBefore;
    long nextCallId = 1;

    FakeNode(CoreSettings settings) {
        this.settings = settings;
        this.core = new Core(settings);
    }

    String name() {
        return settings.node();
    }

    boolean running() {
        return alive && !frozen && !exited;
    }
}
