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
 * Holds MicroRaft's node, and rebuilds it from its store when {@link SnapshotStallDetector} or
 * {@link SnapshotConsistencyCheck} detects a state from which MicroRaft does not recover. {@link #current} may be
 * called on any thread; messages are handled on the executor's thread.
 */
final class RestartableRaftNode {
    private final ControlNodeSettings settings;
    private final ControlNodeEnvironment environment;
    private final ConfigurationStateMachine stateMachine;
    private final SnapshotConsistencyCheck consistencyCheck;
    private final SnapshotStallDetector stallDetector;
    private volatile RaftNode current;
    /** While true, messages are dropped; Raft tolerates lost messages. Accessed on the executor's thread only. */
    private boolean restarting;

    /**
     * Builds the node without starting it.
     *
     * @throws IOException if the store cannot be read or is rejected
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

    /** Returns MicroRaft's node as it was last built; a restart replaces it, so callers must not keep it. */
    RaftNode current() {
        return current;
    }

    /** Passes a message of another control machine to the executor's thread, where it is handled. */
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
        boolean stalled = stallDetector.detectStall(message, environment.clock().millis());
        if (stalled
                || consistencyCheck
                        .firstConflictingIndex(message, currentTerm())
                        .isPresent()) {
            restart(message);
        } else {
            current.handle(consistencyCheck.withoutStoredEntries(message));
        }
    }

    /** Rebuilds MicroRaft's node from the store, as a restart of the process would; drops messages until then. */
    private void restart(RaftMessage message) {
        restarting = true;
        // no caller waits for the restart: messages are dropped until the callback has run
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

    /**
     * Removes the conflicting entries from the store if the conflict still exists now that the node has terminated.
     * Between the first check and the termination, the node may have accepted the stored entries from the leader of a
     * later term; these must not be removed.
     */
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
