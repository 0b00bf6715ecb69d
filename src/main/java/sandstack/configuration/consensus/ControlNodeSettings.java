package sandstack.configuration.consensus;

import io.microraft.RaftConfig;
import java.time.Duration;
import java.util.List;

/**
 * One control machine's part in the agreement; group, voters and times are the same on all machines.
 *
 * @param group names the group, so that machines of two installations never vote for each other
 * @param self this machine's identity, of its disk
 * @param bootstrapVoters who voted when the group was founded; read only where the disk is new
 * @param times how fast a leader is missed
 * @param maxPendingProposals more than this are refused until some are agreed on
 * @param snapshotEveryEntries log entries after which the log is replaced by a snapshot
 */
public record ControlNodeSettings(
        String group,
        ControlIdentity self,
        List<ControlIdentity> bootstrapVoters,
        Times times,
        int maxPendingProposals,
        int snapshotEveryEntries) {
    /** The fewest and the most machines that vote. */
    static final int LEAST_VOTERS = 3;

    static final int MOST_VOTERS = 9;
    /** Entries in one message to a follower; each is a change of bounded size. */
    static final int ENTRIES_PER_MESSAGE = 16;
    /** MicroRaft 0.7 sends up to one entry more than its batch size. */
    static final int MOST_ENTRIES_IN_MESSAGE = ENTRIES_PER_MESSAGE + 1;

    /**
     * How fast a leader is missed and a proposal given up.
     *
     * @param heartbeatPeriod whole seconds, as the library counts
     * @param heartbeatTimeout whole seconds; a leader that is not heard so long, or hears no quorum, is given up
     * @param electionTimeout of one round of votes
     * @param proposalTimeout after which a proposal's outcome is told as indeterminate
     */
    public record Times(
            Duration heartbeatPeriod, Duration heartbeatTimeout, Duration electionTimeout, Duration proposalTimeout) {
        /** Heartbeats each second, a leader missed after 4 s, rounds of 1 s, proposals given up after 6 s. */
        public static final Times DEFAULT =
                new Times(Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofSeconds(6));

        /** Refuses times that are not positive, and a timeout that a single late heartbeat would exceed. */
        public Times {
            if (heartbeatPeriod.toSeconds() < 1 || electionTimeout.toMillis() < 1 || proposalTimeout.toMillis() < 1) {
                throw new IllegalArgumentException("times are positive, the heartbeat period at least 1 s");
            }
            if (heartbeatTimeout.compareTo(heartbeatPeriod.multipliedBy(2)) < 0) {
                throw new IllegalArgumentException("heartbeatTimeout is at least two periods");
            }
        }
    }

    /** Refuses a group that cannot agree. */
    public ControlNodeSettings {
        bootstrapVoters = List.copyOf(bootstrapVoters);
        if (bootstrapVoters.size() < LEAST_VOTERS
                || bootstrapVoters.size() > MOST_VOTERS
                || bootstrapVoters.size() % 2 == 0) {
            throw new IllegalArgumentException("bootstrapVoters are 3, 5, 7 or 9 control machines");
        }
        if (bootstrapVoters.stream().distinct().count() != bootstrapVoters.size()) {
            throw new IllegalArgumentException("bootstrapVoters names a control machine twice");
        }
        if (maxPendingProposals < ENTRIES_PER_MESSAGE || snapshotEveryEntries < 1) {
            throw new IllegalArgumentException(
                    "maxPendingProposals is at least " + ENTRIES_PER_MESSAGE + " and snapshotEveryEntries positive");
        }
    }

    /** With what an installation rarely changes. */
    public static ControlNodeSettings of(String group, ControlIdentity self, List<ControlIdentity> bootstrapVoters) {
        return new ControlNodeSettings(group, self, bootstrapVoters, Times.DEFAULT, 64, 1_000);
    }

    RaftConfig toRaftConfig() {
        return RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(times.heartbeatPeriod().toSeconds())
                .setLeaderHeartbeatTimeoutSecs(times.heartbeatTimeout().toSeconds())
                .setLeaderElectionTimeoutMillis(times.electionTimeout().toMillis())
                .setAppendEntriesRequestBatchSize(ENTRIES_PER_MESSAGE)
                .setMaxPendingLogEntryCount(maxPendingProposals)
                .setCommitCountToTakeSnapshot(snapshotEveryEntries)
                .build();
    }
}
