package org.lovagethread.node.caller;

import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.Ring;

/** Carries out the core's commands about callers, each on the event loop of its call. */
public final class CallerDuty implements Duty {
    private static final long WAIT_MILLIS = 1_000;

    private final CallRegistry calls;
    private final Ring<Command> commands;
    private final QueryRegistry queries;

    CallerDuty(CallRegistry calls, QueryRegistry queries, Ring<Command> commands) {
        this.calls = calls;
        this.queries = queries;
        this.commands = commands;
    }

    @Override
    public String name() {
        return "callers";
    }

    @Override
    public void step() {
        Command command = commands.take(WAIT_MILLIS);
        if (command instanceof Command.CompleteCall complete) {
            onCall(complete.callId(), OpenCall::complete);
        } else if (command instanceof Command.RefuseCall refuse) {
            onCall(refuse.callId(), call -> call.refuse(refuse.kind(), refuse.retryAtMillis()));
        } else if (command instanceof Command.ReplayAnswer replay) {
            onCall(replay.callId(), call -> call.replay(replay.answer()));
        } else if (command instanceof Command.AttachCaller attach) {
            attach(attach);
        } else if (command instanceof Command.RedirectCaller redirect) {
            onCall(redirect.callId(), call -> call.redirect(redirect.address()));
        } else if (command instanceof Command.ForgetCall forget) {
            calls.remove(forget.callId());
        } else if (command instanceof Command.AnswerAddress answer) {
            queries.answer(answer.callId(), answer);
        } else if (command instanceof Command.AnswerStatus answer) {
            queries.answer(answer.callId(), answer);
        }
    }

    private void attach(Command.AttachCaller attach) {
        calls.find(attach.callId())
                .ifPresent(fresh -> fresh.run(() -> {
                    Optional<CallerConnection> connection = fresh.detach();
                    calls.remove(attach.callId());
                    calls.find(attach.streamCallId())
                            .ifPresent(call -> call.run(() -> call.attach(connection, attach.fromChunk())));
                }));
    }

    private void onCall(long callId, Consumer<OpenCall> action) {
        calls.find(callId).ifPresent(call -> {
            if (call.request().kind() != CallKind.GENERATE) {
                calls.remove(callId);
            }
            call.run(() -> action.accept(call));
        });
    }
}
