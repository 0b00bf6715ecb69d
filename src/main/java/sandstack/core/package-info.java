/**
 * The relay without sockets: the commands taken, the executions out and standing, the deadlines, the feed servers and
 * the tenants. Hands events to the module in {@code decisions} and carries out its actions. One thread; the clock is
 * passed in, and the fronts and the watch on discovery use it.
 */
package sandstack.core;
