/**
 * The processes of one relay while one takes over from another: that they are alive, the descriptors that they use and
 * the endpoint list that they have. Owns the files about it in the temporary folder and one thread; uses the JDK only.
 * What follows from the descriptors in use is pure arithmetic ({@link sandstack.handover.DescriptorQuota}).
 */
package sandstack.handover;
