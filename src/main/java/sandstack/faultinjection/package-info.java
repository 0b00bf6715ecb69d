/**
 * Fault injection for a fleet of real processes: fault schedules, the processes and links that the faults are applied
 * to, and the invariants that are checked on the history of a run. Terminates all processes that it starts. Uses the
 * event loop of {@code sandstack.testserver}; no relay uses this package.
 */
package sandstack.faultinjection;
