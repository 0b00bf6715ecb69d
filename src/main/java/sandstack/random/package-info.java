/**
 * Random numbers and hashes that are the same on every machine for the same seed, and a map of bounded size. Holds no
 * global state and depends on the JDK only.
 */
package sandstack.random;
