/**
 * Fault injection for a fleet of real processes: fault schedules, the processes and the links between them that the
 * faults apply to, and the invariants that are checked on the history of a run. Owns and ends the processes that it
 * starts. Uses the event loop of {@code sandstack.testserver}; no relay uses this package.
 */
package sandstack.faultinjection;
