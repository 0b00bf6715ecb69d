/**
 * The command line and the relay as a process: reads the settings, puts the parts together, serves until it has
 * drained. Owns the process's start and end and its log; uses all other packages, and none of them uses it.
 */
package sandstack;
