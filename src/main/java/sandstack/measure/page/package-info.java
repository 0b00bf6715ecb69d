/**
 * What the planned size needs of each part, role by role: the planning numbers and the slopes are kept in JSON, and the
 * tables of {@code docs/CAPACITY.md} are made from them. Nothing here measures.
 */
package sandstack.measure.page;
