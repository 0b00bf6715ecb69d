/**
 * Relays that know of each other: who is a member, how sure that is and who says so, and small values that members tell
 * all. What is decided is here, without I/O, clock or thread: moments are handed in, in microseconds of the caller's
 * clock, which only has to rise. Uses {@code chance} alone; {@code fleet.link} owns sockets, threads and the library.
 */
package sandstack.fleet;
