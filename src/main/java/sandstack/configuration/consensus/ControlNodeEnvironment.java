package sandstack.configuration.consensus;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.Optional;
import java.util.Random;

/**
 * What a control node uses of the world around it.
 *
 * @param executor runs the node's tasks one at a time
 * @param restored what the store held at start; empty on a new disk
 */
public record ControlNodeEnvironment(
        RaftNodeExecutor executor,
        Transport transport,
        RaftStore store,
        Optional<RestoredRaftState> restored,
        Clock clock,
        Random random) {}
