package org.lovagethread.node.caller;

import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Worker;

/** Executes the commands of the core that concern callers, each on the event loop of its call. */
public final class CallerWorker implements Worker {
    private static final long POLL_TIMEOUT_MILLIS = 1_000;

    private final CallRegistry calls;
    private final MpscQueue<Command> commands;
    private final QueryRegistry queries;

    CallerWorker(CallRegistry calls, QueryRegistry queries, MpscQueue<Command> commands) {
        this.calls = calls;
        this.queries = queries;
        this.commands = commands;
    }

    @Override
    public String name() {
        return "callers";
    }

    @Override
    public void runIteration() {
        Command command = commands.poll(POLL_TIMEOUT_MILLIS);
        if (command instanceof Command.CompleteCall complete) {
            withCall(complete.callId(), OpenCall::complete);
        } else if (command instanceof Command.RefuseCall refuse) {
            withCall(refuse.callId(), call -> call.refuse(refuse.kind(), refuse.retryAtMillis()));
        } else if (command instanceof Command.ReplayAnswer replay) {
            withCall(replay.callId(), call -> call.replay(replay.answer()));
        } else if (command instanceof Command.AttachCaller attach) {
            attach(attach);
        } else if (command instanceof Command.RedirectCaller redirect) {
            withCall(redirect.callId(), call -> call.redirect(redirect.address()));
        } else if (command instanceof Command.ForgetCall forget) {
            calls.remove(forget.callId());
        } else if (command instanceof Command.AnswerAddress answer) {
            queries.complete(answer.callId(), answer);
        } else if (command instanceof Command.AnswerStatus answer) {
            queries.complete(answer.callId(), answer);
        }
    }

    private void attach(Command.AttachCaller attach) {
        calls.find(attach.callId())
                .ifPresent(reconnectedCall -> reconnectedCall.execute(() -> {
                    Optional<CallerConnection> connection = reconnectedCall.detach();
                    calls.remove(attach.callId());
                    calls.find(attach.streamCallId())
                            .ifPresent(call -> call.execute(() -> call.reattach(connection, attach.fromChunk())));
                }));
    }

    private void withCall(long callId, Consumer<OpenCall> action) {
        calls.find(callId).ifPresent(call -> {
            if (call.request().kind() != CallKind.GENERATE) {
                calls.remove(callId);
            }
            call.execute(() -> action.accept(call));
        });
    }
}
