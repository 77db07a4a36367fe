/** Demonstration of a small fleet on loopback. */
package pinewick.lab.demo;
