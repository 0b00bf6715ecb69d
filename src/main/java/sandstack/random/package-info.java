/**
 * Random numbers and hashes that are the same on every machine for the same seed, and a map of bounded size. Holds no
 * state of the relay and uses the JDK only.
 */
package sandstack.random;
