package controller

import (
	"ambersill/internal/emulator"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// must returns a value whose error can only be a fault of the test.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// putChange is the change of a key to a record.
func putChange(key string, record any, revision uint64) keyChange {
	return keyChange{key: key, value: must(wire.Marshal(record)), revision: revision}
}

// isolatedController returns a controller on a network without any other host.
func isolatedController() *Controller {
	cluster := &simulatedCluster{nodes: simulatedNodes(2)}
	return New(cluster.settings(0), tuning.Default(), emulator.NewNetwork().Host("node-0"))
}
