/**
 * The handover from one process of a relay to another: sibling processes publish their heartbeats, descriptors in use
 * and endpoint lists as files in the temporary folder. Owns those files and one thread; uses the JDK only.
 * {@link sandstack.handover.DescriptorQuota} computes each process's share of the descriptors.
 */
package sandstack.handover;
