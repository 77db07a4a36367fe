/**
 * The two programs, {@code router} and {@code controller}: command line, settings file, logs, signals, and the
 * assembling of the other modules.
 */
package pinewick.system;
