/**
 * A fleet of many routers and replicas on one machine. Most routers are hollow: they run the real membership,
 * dissemination and transport code but serve no requests. Hollow replicas only send heartbeats. A few routers and all
 * controllers are real processes.
 */
package pinewick.lab.scale;
