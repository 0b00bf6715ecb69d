/** The program's entry point. */
package sandstack;
