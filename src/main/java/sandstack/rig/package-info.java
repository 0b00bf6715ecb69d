/**
 * Several processes of this program with faults between them: the processes, the links between each pair of them, and
 * what is done to both. Owns the processes that it starts and ends them; uses {@code standin} for its loop, and no relay
 * uses it.
 */
package sandstack.rig;
