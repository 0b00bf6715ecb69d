/**
 * Consensus of the control machines on one order of configuration changes, by Raft (Ongaro and Ousterhout, "In Search
 * of an Understandable Consensus Algorithm") with the library MicroRaft, its persistent state in a file of H2's
 * MVStore. Only these two libraries are used here, and they are on the class path of no other command.
 *
 * <p>{@link sandstack.configuration.consensus.ControlNode} is the entry; it drives a
 * {@link sandstack.configuration.consensus.ConfigurationStateMachine} and stores through a
 * {@link sandstack.configuration.consensus.MvStoreRaftStore}. Executor, transport, clock and random numbers are passed
 * in; nothing here starts a thread.
 */
package sandstack.configuration.consensus;
