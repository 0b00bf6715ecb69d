package sandstack.configuration.consensus;

import io.microraft.RaftConfig;
import java.time.Duration;
import java.util.List;

/**
 * The settings of one control machine; group, voters and timeouts are the same on all machines.
 *
 * @param group the name of the Raft group; messages of other groups are rejected, so that machines of two installations
 *     never vote for each other
 * @param self the identity of this machine and its disk
 * @param bootstrapVoters the initial voters of the group; used only while the store is empty
 * @param timeouts timeouts of heartbeats, elections and proposals
 * @param maxPendingProposals number of uncommitted proposals at which the leader rejects further ones
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

    /** Further voters slow each commit and add little fault tolerance. */
    static final int MAX_VOTERS = 9;
    /** Batch size of an AppendEntries message, in log entries; each entry holds a change of bounded size. */
    static final int APPEND_BATCH_ENTRIES = 16;
    /** Maximum number of log entries in a message; MicroRaft 0.7 sends up to one entry more than its batch size. */
    static final int MAX_ENTRIES_PER_MESSAGE = APPEND_BATCH_ENTRIES + 1;

    /**
     * The timeouts after which a leader counts as failed, an election as undecided and a proposal as indeterminate.
     *
     * @param heartbeatPeriod time between two heartbeats of the leader, in whole seconds as MicroRaft requires
     * @param heartbeatTimeout time in whole seconds without a heartbeat after which followers start an election, and
     *     without responses of a quorum after which a leader steps down
     * @param electionTimeout time after which an undecided election is repeated
     * @param proposalTimeout time after which the outcome of a pending proposal is reported as indeterminate
     */
    public record Timeouts(
            Duration heartbeatPeriod, Duration heartbeatTimeout, Duration electionTimeout, Duration proposalTimeout) {
        /** Heartbeats each second, an election after 4 s without one, elections of 1 s, proposals of 6 s. */
        public static final Timeouts DEFAULT = new Timeouts(
                Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofSeconds(6));

        /**
         * Rejects timeouts that are not positive, and a heartbeat timeout under two periods, which a single late
         * heartbeat would exceed.
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
