package sandstack.configuration.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import sandstack.concurrent.Futures;

/**
 * The library's Raft node, which is rebuilt from its store where {@link SnapshotStallDetector} or
 * {@link SnapshotConsistencyCheck} finds that it cannot go on by itself. {@link #current} may be read on any thread;
 * messages are handled on the executor's.
 */
final class RestartableRaftNode {
    private final ControlNodeSettings settings;
    private final ControlNodeEnvironment environment;
    private final ConfigurationStateMachine stateMachine;
    private final SnapshotConsistencyCheck consistencyCheck;
    private final SnapshotStallDetector stallDetector;
    private volatile RaftNode current;
    /** While it is set, messages are dropped, as on any network. Only touched on the executor's thread. */
    private boolean restarting;

    /**
     * Builds the node; it does not take part before it is started.
     *
     * @throws IOException where the store cannot be read or is rejected
     */
    RestartableRaftNode(
            ControlNodeSettings settings, ControlNodeEnvironment environment, ConfigurationStateMachine stateMachine)
            throws IOException {
        this.settings = settings;
        this.environment = environment;
        this.stateMachine = stateMachine;
        this.stallDetector = new SnapshotStallDetector(settings.timeouts().heartbeatTimeout());
        this.consistencyCheck = new SnapshotConsistencyCheck(environment.store());
        this.current = build();
    }

    /** The library's node as it was last built. */
    RaftNode current() {
        return current;
    }

    /** Handles a message of another control machine, on the executor's thread. */
    void handle(RaftMessage message) {
        environment.executor().execute(() -> handleOnExecutor(message));
    }

    private RaftNode build() throws IOException {
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(settings.group())
                .setConfig(settings.toRaftConfig())
                .setExecutor(new JitteredExecutor(environment.executor(), environment.random()))
                .setTransport(environment.transport())
                .setStore(environment.store())
                .setStateMachine(stateMachine)
                .setClock(environment.clock())
                .setRandom(environment.random());
        Optional<RestoredRaftState> restored = environment.store().restore();
        if (restored.isPresent()) {
            return builder.setRestoredState(restored.get()).build();
        }
        return builder.setLocalEndpoint(settings.self())
                .setInitialGroupMembers(List.<RaftEndpoint>copyOf(settings.bootstrapVoters()))
                .build();
    }

    private void handleOnExecutor(RaftMessage message) {
        if (restarting) {
            return;
        }
        boolean stalled = stallDetector.isStalledBy(message, environment.clock().millis());
        if (stalled
                || consistencyCheck
                        .firstConflictingIndex(message, currentTerm())
                        .isPresent()) {
            restart(message);
        } else {
            current.handle(consistencyCheck.withoutStoredEntries(message));
        }
    }

    /** Rebuilds the library's node from the store, as a restart of the process would; messages until then are lost. */
    private void restart(RaftMessage message) {
        restarting = true;
        // no caller waits for the restart: messages are lost until the callback has run
        Futures.ignore(current.terminate().whenComplete((ignored, failure) -> {
            try {
                removeConflictingEntries(message);
                current = build();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            restarting = false;
            // no caller waits for the start either
            Futures.ignore(current.start());
        }));
    }

    /** Checks again now that the node handles nothing more: a later leader may have confirmed the entries meanwhile. */
    private void removeConflictingEntries(RaftMessage message) throws IOException {
        OptionalLong firstConflicting = consistencyCheck.firstConflictingIndex(message, currentTerm());
        if (firstConflicting.isPresent()) {
            environment.store().truncateLogEntriesFrom(firstConflicting.getAsLong());
            environment.store().flush();
        }
    }

    private int currentTerm() {
        return current.getTerm().getTerm();
    }
}
