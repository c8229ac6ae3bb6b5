package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Claim;
import org.lovagethread.core.store.Lease;
import org.lovagethread.core.store.StoreStatus;

/** Fake of the Object API with conditional writes of claims and the lease. */
final class FakeStore {
    /** Failure mode of the store. */
    enum Mode {
        /** Every operation succeeds. */
        UP,
        /** Every operation is rejected without taking effect. */
        DOWN,
        /** Every write takes effect, but responses are lost. */
        RESPONSES_LOST,
        /** Every write takes effect only after the node has stopped waiting for its response. */
        WRITES_DELAYED
    }

    private record Entry(long version, Claim claim) {}

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private long nextVersion = 1;
    Mode mode = Mode.UP;
    final List<Event> unanswered = new ArrayList<>();
    private Lease lease;
    private long leaseVersion;
    int writes;

    Optional<Claim> claim(String key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::claim);
    }

    Event read(Command.ReadClaim command) {
        Entry entry = entries.get(command.key());
        if (entry == null) {
            return new Event.ClaimReplied(command.operationId(), StoreStatus.MISSING, 0, Optional.empty());
        }
        return reply(command.operationId(), StoreStatus.FOUND, entry);
    }

    Event write(Command.WriteClaim command) {
        writes++;
        Entry entry = entries.get(command.key());
        long version = entry == null ? 0 : entry.version();
        if (version != command.expectedVersion()) {
            return entry == null
                    ? new Event.ClaimReplied(command.operationId(), StoreStatus.CONFLICT, 0, Optional.empty())
                    : reply(command.operationId(), StoreStatus.CONFLICT, entry);
        }
        Entry written = new Entry(nextVersion++, command.claim());
        entries.put(command.key(), written);
        return new Event.ClaimReplied(command.operationId(), StoreStatus.WRITTEN, written.version(), Optional.empty());
    }

    Event readLease(long operationId) {
        return lease == null
                ? new Event.LeaseReplied(operationId, StoreStatus.MISSING, 0, Optional.empty())
                : new Event.LeaseReplied(operationId, StoreStatus.FOUND, leaseVersion, Optional.of(lease));
    }

    Event writeLease(Command.WriteLease command) {
        writes++;
        if (command.expectedVersion() != leaseVersion) {
            return new Event.LeaseReplied(
                    command.operationId(), StoreStatus.CONFLICT, leaseVersion, Optional.ofNullable(lease));
        }
        lease = command.lease();
        leaseVersion = nextVersion++;
        return new Event.LeaseReplied(command.operationId(), StoreStatus.WRITTEN, leaseVersion, Optional.empty());
    }

    private static Event reply(long operationId, StoreStatus status, Entry entry) {
        return new Event.ClaimReplied(operationId, status, entry.version(), Optional.of(entry.claim()));
    }
}
