package controller

import (
	"ambersill/internal/emulator"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// must returns value and panics if err is not nil. Use it where an error can only mean that the
// test itself is wrong.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// putChange returns the change that stores a record under a key at a revision.
func putChange(key string, record any, revision uint64) keyChange {
	return keyChange{key: key, value: must(wire.Marshal(record)), revision: revision}
}

// newIsolatedController returns a controller whose emulated network has no other host.
func newIsolatedController() *Controller {
	cluster := &simulatedCluster{nodes: simulatedNodes(2)}
	return New(cluster.settings(0), tuning.Default(), emulator.NewNetwork().Host("node-0"))
}

// newHeartbeat returns the heartbeat of a machine without tasks.
func newHeartbeat(machine string, sequence uint64) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine:     machine,
		Address:     "10.1.0.1:9000",
		MachineType: "small",
		Zone:        "a",
		Incarnation: 1,
		Sequence:    sequence,
		Tasks:       []wire.TaskStatus{},
	}
}
