// This file starts and stops the controllers of a simulated cluster.

package controller

import (
	"context"
	"sync/atomic"
	"time"

	"ambersill/internal/records"
)

// startNode starts a node's controller, which runs until crashNode kills it or the simulation
// ends. It does nothing if the controller is already running or the simulation has ended.
func (cluster *simulatedCluster) startNode(node int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.crashFuncs[node] != nil || cluster.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(cluster.ctx)
	host := cluster.network.Host(cluster.nodes[node].Name)
	controller := New(cluster.settings(node), cluster.tuning, host)
	if cluster.oldVersionNodes[node] {
		controller.supportedFeatureLevel = records.FeatureInitialFormat
	}
	ended := make(chan struct{})
	var crashed atomic.Bool
	cluster.crashFuncs[node] = func() {
		crashed.Store(true)
		// Before cancel, so that, as with a killed process, nothing is sent during shutdown.
		host.Shutdown()
		cancel()
		<-ended
	}
	cluster.terminateFuncs[node] = func() {
		cancel()
		<-ended
		host.Shutdown()
	}
	go func() {
		defer close(ended)
		if err := controller.Run(ctx); err != nil && !crashed.Load() {
			cluster.t.Errorf("controller of node-%d exited without being stopped: %v", node, err)
		}
	}()
	context.AfterFunc(cluster.ctx, func() {
		crashed.Store(true) // the controller's own context may end after its listeners are closed
		host.Shutdown()
	})
}

// crashNode kills a node's controller if it is running.
func (cluster *simulatedCluster) crashNode(node int) { cluster.stopNode(node, cluster.crashFuncs) }

// terminateNode has a node's controller shut down if it is running, as SIGTERM does.
func (cluster *simulatedCluster) terminateNode(node int) {
	cluster.stopNode(node, cluster.terminateFuncs)
}

// stopNode calls the function in stopFuncs that stops a node, if the node is running.
func (cluster *simulatedCluster) stopNode(node int, stopFuncs map[int]func()) {
	cluster.mu.Lock()
	stop := stopFuncs[node]
	cluster.crashFuncs[node], cluster.terminateFuncs[node] = nil, nil
	cluster.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// startNodes starts all controllers.
func (cluster *simulatedCluster) startNodes() {
	for node := range cluster.nodes {
		cluster.startNode(node)
	}
}

// crashNodes kills all controllers.
func (cluster *simulatedCluster) crashNodes() {
	for node := range cluster.nodes {
		cluster.crashNode(node)
	}
}

// restartNode kills a node's controller and starts it again after the downtime.
func (cluster *simulatedCluster) restartNode(node int, downtime time.Duration) {
	cluster.crashNode(node)
	time.Sleep(downtime)
	cluster.startNode(node)
}

// restartNodes kills all controllers and starts them again after the downtime.
func (cluster *simulatedCluster) restartNodes(downtime time.Duration) {
	cluster.crashNodes()
	time.Sleep(downtime)
	cluster.startNodes()
}
