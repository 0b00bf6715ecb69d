/**
 * Other processes of the same relay while one takes over from another: that they are there, what they use, the list that
 * they hold. Owns the files about it in the temporary folder and one thread; uses the JDK only. What follows from a
 * marker is pure arithmetic ({@link sandstack.handover.ResourceShares}).
 */
package sandstack.handover;
