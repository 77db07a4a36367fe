/**
 * A fleet of many routers and replicas on one machine: hollow ones, which run the real code of membership,
 * dissemination and transport but take no requests, beside a few real processes.
 */
package pinewick.lab.scale;
