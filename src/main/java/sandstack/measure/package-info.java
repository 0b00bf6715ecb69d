/**
 * Benchmarks as commands. Each starts relay processes and stand-ins on loopback, measures, prints the metrics and
 * checks them against targets. Also the commands that run stand-ins or one connection by hand. Owns the relay processes
 * that it starts; only the command line depends on this package.
 */
package sandstack.measure;
