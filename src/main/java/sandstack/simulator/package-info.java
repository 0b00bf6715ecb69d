/**
 * The simulator's wire: reads batches of events, hands them to one decision module per instance and writes the actions
 * that come back. Uses {@code decisions}; decides nothing itself and is no part of a running relay.
 */
package sandstack.simulator;
