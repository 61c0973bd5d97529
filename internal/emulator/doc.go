// Package emulator emulates the systems outside ambersill, as the protocol describes them: the
// key-value store (KeyValueStore), the cloud (Cloud), the workers (Worker), users (User) and the
// network between all (Network). FaultInjector injects faults, and Simulation checks the
// protocol's rules. They serve a cluster for trying ambersill out, and the tests. They keep time
// by package time only, so that a test can run them in virtual time.
package emulator
