/**
 * The measurements of {@code measure}. Each one starts relay processes and fake servers on loopback, or runs a
 * simulation, prints the measured metrics and checks them against targets. Also the commands {@code standin} and
 * {@code open} for manual experiments. A measurement kills the processes that it has started before it returns. Apart
 * from its own sub-packages, only the command line depends on this package.
 */
package sandstack.measure;
