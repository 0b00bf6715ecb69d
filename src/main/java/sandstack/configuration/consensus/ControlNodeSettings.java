package sandstack.configuration.consensus;

import io.microraft.RaftConfig;
import java.time.Duration;
import java.util.List;

/**
 * The settings of one control machine; group, voters and timeouts must be equal on all machines.
 *
 * @param group the name of the Raft group; messages of other groups are rejected, so that machines of two installations
 *     never vote for each other
 * @param self the identity of this machine and its disk
 * @param bootstrapVoters the initial voters of the group; used only if the store is empty at the start
 * @param timeouts timeouts of heartbeats, elections and proposals
 * @param maxPendingProposals number of uncommitted proposals at which the leader rejects further ones until some are
 *     committed
 * @param snapshotIntervalEntries number of committed log entries after which the log is compacted into a snapshot
 */
public record ControlNodeSettings(
        String group,
        ControlIdentity self,
        List<ControlIdentity> bootstrapVoters,
        Timeouts timeouts,
        int maxPendingProposals,
        int snapshotIntervalEntries) {
    /** The smallest group that keeps a quorum after the loss of one voter. */
    static final int MIN_VOTERS = 3;

    /** The largest group; further voters would slow each commit and add little fault tolerance. */
    static final int MAX_VOTERS = 9;
    /** Batch size of an AppendEntries message, in log entries; each entry holds a change of bounded size. */
    static final int APPEND_BATCH_ENTRIES = 16;
    /** Maximum number of log entries in a message; MicroRaft 0.7 sends up to one entry more than its batch size. */
    static final int MAX_ENTRIES_PER_MESSAGE = APPEND_BATCH_ENTRIES + 1;

    /**
     * The times after which a failed leader is replaced, an undecided election is repeated, and the outcome of a
     * proposal is reported as indeterminate.
     *
     * @param heartbeatPeriod time between two heartbeats of the leader, in whole seconds as MicroRaft requires
     * @param heartbeatTimeout time in whole seconds after which followers that receive no heartbeat start an election,
     *     and a leader that receives no responses of a quorum steps down
     * @param electionTimeout time after which an undecided election is repeated
     * @param proposalTimeout time after which the outcome of a pending proposal is reported as indeterminate
     */
    public record Timeouts(
            Duration heartbeatPeriod, Duration heartbeatTimeout, Duration electionTimeout, Duration proposalTimeout) {
        /** Heartbeats each second; timeouts of 4 s for heartbeats, 1 s for an election and 6 s for a proposal. */
        public static final Timeouts DEFAULT = new Timeouts(
                Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofSeconds(6));

        /**
         * Rejects a heartbeat period below 1 s, an election or proposal timeout below 1 ms, and a heartbeat timeout
         * below two periods, which a single late heartbeat would exceed.
         */
        public Timeouts {
            if (heartbeatPeriod.toSeconds() < 1 || electionTimeout.toMillis() < 1 || proposalTimeout.toMillis() < 1) {
                throw new IllegalArgumentException("heartbeatPeriod " + heartbeatPeriod
                        + " must be at least 1 s, electionTimeout " + electionTimeout + " and proposalTimeout "
                        + proposalTimeout + " must be at least 1 ms");
            }
            if (heartbeatTimeout.compareTo(heartbeatPeriod.multipliedBy(2)) < 0) {
                throw new IllegalArgumentException(
                        "heartbeatTimeout " + heartbeatTimeout + " must be at least two periods of " + heartbeatPeriod);
            }
        }
    }

    /** Rejects a number of voters that is even or out of range, duplicate voters, and limits that are too small. */
    public ControlNodeSettings {
        bootstrapVoters = List.copyOf(bootstrapVoters);
        if (bootstrapVoters.size() < MIN_VOTERS
                || bootstrapVoters.size() > MAX_VOTERS
                || bootstrapVoters.size() % 2 == 0) {
            throw new IllegalArgumentException(
                    "bootstrapVoters must name 3, 5, 7 or 9 control machines, not " + bootstrapVoters.size());
        }
        if (bootstrapVoters.stream().distinct().count() != bootstrapVoters.size()) {
            throw new IllegalArgumentException("bootstrapVoters names a control machine twice: " + bootstrapVoters);
        }
        if (maxPendingProposals < APPEND_BATCH_ENTRIES || snapshotIntervalEntries < 1) {
            throw new IllegalArgumentException("maxPendingProposals must be at least " + APPEND_BATCH_ENTRIES
                    + " and snapshotIntervalEntries positive");
        }
    }

    /** Default timeouts, at most 64 pending proposals, and a snapshot every 1,000 log entries. */
    public static ControlNodeSettings of(String group, ControlIdentity self, List<ControlIdentity> bootstrapVoters) {
        return new ControlNodeSettings(group, self, bootstrapVoters, Timeouts.DEFAULT, 64, 1_000);
    }

    RaftConfig toRaftConfig() {
        return RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(timeouts.heartbeatPeriod().toSeconds())
                .setLeaderHeartbeatTimeoutSecs(timeouts.heartbeatTimeout().toSeconds())
                .setLeaderElectionTimeoutMillis(timeouts.electionTimeout().toMillis())
                .setAppendEntriesRequestBatchSize(APPEND_BATCH_ENTRIES)
                .setMaxPendingLogEntryCount(maxPendingProposals)
                .setCommitCountToTakeSnapshot(snapshotIntervalEntries)
                .build();
    }
}
