/** Programs started over and over by the lines of the deploy file, to find starts that end by themselves. */
package pinewick.lab.starts;
