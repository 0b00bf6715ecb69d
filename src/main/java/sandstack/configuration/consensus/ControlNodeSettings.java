package sandstack.configuration.consensus;

import io.microraft.RaftConfig;
import java.time.Duration;
import java.util.List;

/**
 * The settings of one control machine; group, voters and timeouts are the same on all machines.
 *
 * @param group names the group, so that machines of two installations never vote for each other
 * @param self this machine's identity, of its disk
 * @param bootstrapVoters the voters when the group was founded; read only where the disk is new
 * @param timeouts of elections, heartbeats and proposals
 * @param maxPendingProposals further ones are rejected until some are committed
 * @param snapshotIntervalEntries log entries after which the log is compacted into a snapshot
 */
public record ControlNodeSettings(
        String group,
        ControlIdentity self,
        List<ControlIdentity> bootstrapVoters,
        Timeouts timeouts,
        int maxPendingProposals,
        int snapshotIntervalEntries) {
    /** The fewest voters that survive the loss of one. */
    static final int MIN_VOTERS = 3;

    /** More voters make each commit slower and hardly safer. */
    static final int MAX_VOTERS = 9;
    /** Entries in one AppendEntries message; each is a change of bounded size. */
    static final int APPEND_BATCH_ENTRIES = 16;
    /** MicroRaft 0.7 sends up to one entry more than its batch size. */
    static final int MAX_ENTRIES_PER_MESSAGE = APPEND_BATCH_ENTRIES + 1;

    /**
     * How fast a leader is given up, and a proposal.
     *
     * @param heartbeatPeriod in whole seconds, as the library counts
     * @param heartbeatTimeout in whole seconds; after it followers start an election, and a leader without a quorum
     *     steps down
     * @param electionTimeout of one round of votes
     * @param proposalTimeout after which the outcome of a proposal is reported as indeterminate
     */
    public record Timeouts(
            Duration heartbeatPeriod, Duration heartbeatTimeout, Duration electionTimeout, Duration proposalTimeout) {
        /** Heartbeats each second, an election after 4 s, rounds of 1 s, proposals given up after 6 s. */
        public static final Timeouts DEFAULT = new Timeouts(
                Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofSeconds(6));

        /**
         * Rejects timeouts that are not positive, and a heartbeat timeout that a single late heartbeat would exceed.
         */
        public Timeouts {
            if (heartbeatPeriod.toSeconds() < 1 || electionTimeout.toMillis() < 1 || proposalTimeout.toMillis() < 1) {
                throw new IllegalArgumentException(
                        "heartbeatPeriod " + heartbeatPeriod + " is at least 1 s, electionTimeout " + electionTimeout
                                + " and proposalTimeout " + proposalTimeout + " at least 1 ms");
            }
            if (heartbeatTimeout.compareTo(heartbeatPeriod.multipliedBy(2)) < 0) {
                throw new IllegalArgumentException(
                        "heartbeatTimeout " + heartbeatTimeout + " is at least two periods of " + heartbeatPeriod);
            }
        }
    }

    /** Rejects a group that cannot commit, or whose voters are not distinct. */
    public ControlNodeSettings {
        bootstrapVoters = List.copyOf(bootstrapVoters);
        if (bootstrapVoters.size() < MIN_VOTERS
                || bootstrapVoters.size() > MAX_VOTERS
                || bootstrapVoters.size() % 2 == 0) {
            throw new IllegalArgumentException(
                    "bootstrapVoters are 3, 5, 7 or 9 control machines, not " + bootstrapVoters.size());
        }
        if (bootstrapVoters.stream().distinct().count() != bootstrapVoters.size()) {
            throw new IllegalArgumentException("bootstrapVoters names a control machine twice: " + bootstrapVoters);
        }
        if (maxPendingProposals < APPEND_BATCH_ENTRIES || snapshotIntervalEntries < 1) {
            throw new IllegalArgumentException(
                    "maxPendingProposals is at least " + APPEND_BATCH_ENTRIES + " and snapshotEveryEntries positive");
        }
    }

    /** The settings of a group with the defaults of all that an installation rarely changes. */
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
