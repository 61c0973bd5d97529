package controller

import (
	"ambersill/internal/emulator"
	"ambersill/internal/tuning"
)

// isolatedController returns a controller on a network without any other host.
func isolatedController() *Controller {
	cluster := &simulatedCluster{nodes: []emulator.Node{{Name: "node-0", Addr: "10.0.0.1:8080"}, {Name: "node-1", Addr: "10.0.0.2:8080"}}}
	return New(cluster.settings(0), tuning.Default(), emulator.NewNetwork().Host("node-0"))
}
