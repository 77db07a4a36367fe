/**
 * The control plane in virtual time: the real controllers with their API and registry, on simulated disks and links,
 * with routers, replicas and operators. {@link pinewick.emulator.control.ControlPlaneSimulation} executes one run; all
 * faults are determined by its seed. The checkers assert every {@link pinewick.emulator.control.Invariant}; each
 * {@link pinewick.emulator.control.Mutant} is a broken variant that one of them must catch.
 */
package pinewick.emulator.control;
