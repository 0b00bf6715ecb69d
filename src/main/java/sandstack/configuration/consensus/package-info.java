/**
 * Replicates configuration changes to the control machines in one order, by Raft (Ongaro and Ousterhout, "In Search of
 * an Understandable Consensus Algorithm"). The library MicroRaft implements the algorithm; its state is persisted in a
 * file of H2's MVStore. No other package uses these two libraries, and this package uses no others; they are in
 * {@code lib-fleet}, which only the commands of a fleet member have on their class path.
 *
 * <p>{@link sandstack.configuration.consensus.ControlNode} is the entry point. It applies committed log entries to a
 * {@link sandstack.configuration.consensus.ConfigurationStateMachine} and persists Raft's state in a
 * {@link sandstack.configuration.consensus.MvStoreRaftStore}. The caller provides executor, transport, clock and random
 * numbers; no class of this package starts a thread.
 */
package sandstack.configuration.consensus;
