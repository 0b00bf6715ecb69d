/**
 * Agreement among the control machines on one order of configuration changes, by Raft (the MicroRaft library) with its
 * log on disk (H2's MVStore). Only these two libraries are used here, and they are on no path but that of the control
 * machines. Executor, transport, clock and random numbers are passed in; nothing here starts a thread.
 */
package sandstack.configuration.consensus;
