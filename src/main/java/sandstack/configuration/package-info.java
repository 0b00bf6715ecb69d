/**
 * Distribution of one configuration to a fleet: control machines agree on changes in one order, and every relay holds a
 * validated state of that order. Nothing here does I/O, reads a clock or starts a thread: moments, randomness, the
 * transport and the store are passed in.
 */
package sandstack.configuration;
