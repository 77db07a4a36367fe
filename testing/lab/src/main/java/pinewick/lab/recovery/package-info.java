/** Measures, with real processes, how long controllers take to tolerate a loss again, and the cost of changes. */
package pinewick.lab.recovery;
