// Package emulator emulates the systems that ambersill communicates with: the key-value store
// (KeyValueStore), the cloud (Cloud), the workers (Worker), the users (User) and the network
// between them (Network). FaultInjector injects faults, and Simulation checks the rules that the
// protocol between these systems and ambersill states. The package is used by tests and by the
// command that runs a local cluster for trying ambersill out. It takes the time only from package
// time, so that a test can run it in virtual time.
package emulator
