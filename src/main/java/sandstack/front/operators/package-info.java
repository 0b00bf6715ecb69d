/**
 * The operators' door: one line a connection, answered from what the relay holds. May use the core and the net; nothing
 * below it knows of it.
 */
package sandstack.front.operators;
