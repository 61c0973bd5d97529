package main

import (
	"fmt"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/wire"
)

// Ports of the emulators and the controllers on the loopback interface. Emulated workers use ports
// from 20000 upwards.
const (
	portStore  = 19001
	portCloud  = 19002
	portPublic = 19100 // of the first controller; the others use the next ones
	portPeer   = 19200 // of the first controller; the others use the next ones
)

const (
	sampleZone = "a"
	sampleTeam = "red"
	// sampleMachineCapacity is the number of machines that can be rented as spot instances, and
	// also the number that can be rented on demand.
	sampleMachineCapacity = 4
	// sampleListLagS is the delay of the emulated cloud's machine list, in seconds.
	sampleListLagS = 1
	// sampleServiceCancelDelay is the time after submission at which users cancel sample
	// services.
	sampleServiceCancelDelay = 15 * time.Second
)

var sampleMachineType = wire.MachineType{
	Name:             "small",
	CPUs:             8,
	MemoryGB:         32,
	ImageCacheGB:     50,
	ImageFetchGBPerS: 1,
	HourlyPrice:      1,
	HourlySpotPrice:  0.4,
	BootS:            3,
	Zones:            []string{sampleZone},
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func nodeName(index int) string { return fmt.Sprintf("node-%d", index) }

// sampleSettings returns the settings of the controller with the given index in a cluster of the
// given number of nodes.
func sampleSettings(index, nodes int) config.Settings {
	settings := config.Settings{
		Node:       nodeName(index),
		Zone:       sampleZone,
		PublicAddr: loopback(portPublic + index),
		PeerAddr:   loopback(portPeer + index),
		Endpoints: config.Endpoints{
			Cloud: loopback(portCloud),
			Store: loopback(portStore),
		},
		Cluster: sampleCluster(nodes),
	}
	for other := range nodes {
		if other == index {
			continue
		}
		settings.Members = append(settings.Members, config.Member{
			Node: nodeName(other),
			Zone: sampleZone,
			Addr: loopback(portPeer + other),
		})
	}
	return settings
}

func sampleCluster(nodes int) config.Cluster {
	return config.Cluster{
		ControllerCount: nodes,
		Zones:           []string{sampleZone},
		Teams:           []config.Team{{Name: sampleTeam, CPUs: 8, MaxCPUs: 32}},
		WorkerTiming: config.WorkerTiming{
			HeartbeatIntervalS: 2,
			LeaseDurationS:     14,
			GangWaitTimeoutS:   35,
			GangPeerTimeoutS:   5,
			CancelDeadlineS:    44,
		},
		Store: config.Store{
			StoreLimits: config.StoreLimits{
				RequestsPerS: 150,
				WritesPerS:   50,
				MaxValueKiB:  8,
				MaxTxnWrites: 12,
			},
		},
		Cloud: config.Cloud{
			RequestsPerS: 5,
			MaxListLagS:  sampleListLagS,
		},
		ControllerLimits: config.MachineLimits{
			CPU:        0.1,
			MemoryMiB:  100,
			MaxSockets: 700,
		},
	}
}

// sampleJob returns the sample job with the given index and the time after which its user cancels
// it, or 0 if the user does not cancel it. Of each five consecutive jobs, three are arrays, one is
// a gang and one is a service.
func sampleJob(index int) (*wire.Job, time.Duration) {
	job := &wire.Job{
		ID:            fmt.Sprintf("req-%06d", index+1),
		Class:         "sample",
		Team:          sampleTeam,
		Shape:         wire.ArrayJob,
		Priority:      wire.PriorityStandard,
		TaskCount:     1 + index%4,
		CPUs:          2,
		MemoryGB:      4,
		Image:         "img",
		ImageGB:       1,
		EstimatedRunS: 5,
		AllowSpot:     true,
	}
	switch index % 5 {
	case 2:
		job.Shape = wire.GangJob
		job.TaskCount = 2
	case 4:
		job.Shape = wire.ServiceJob
		job.TaskCount = 2
		job.EstimatedRunS = 0
		return job, sampleServiceCancelDelay
	}
	return job, 0
}
