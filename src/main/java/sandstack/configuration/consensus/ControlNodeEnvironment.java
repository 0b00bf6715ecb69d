package sandstack.configuration.consensus;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.Random;

/**
 * What a control node uses of the world around it.
 *
 * @param executor runs the node's tasks one at a time
 * @param store what this machine remembered before, or a new one
 */
public record ControlNodeEnvironment(
        RaftNodeExecutor executor, Transport transport, EncodedRaftStore store, Clock clock, Random random) {}
