/** Starts programs repeatedly with the commands of the deploy file, to find starts that exit unexpectedly. */
package pinewick.lab.starts;
