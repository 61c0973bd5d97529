package wire

// MachineType describes one machine type in the cloud's catalog.
type MachineType struct {
	Name             string   `cbor:"sku"`
	CPUs             float64  `cbor:"cores"`
	GPUs             float64  `cbor:"gpus"`
	MemoryGB         float64  `cbor:"ramGb"`
	ImageCacheGB     float64  `cbor:"localGb"`     // disk space for container images, in GB
	ImageFetchGBPerS float64  `cbor:"pullGbPerS"`  // rate of fetching images, in GB per second
	HourlyPrice      float64  `cbor:"hourly"`      // price per hour on demand
	HourlySpotPrice  float64  `cbor:"marketPrice"` // current price per hour as a spot instance
	BootS            float64  `cbor:"bootS"`       // typical boot time, in seconds
	Zones            []string `cbor:"fields"`      // zones that offer the type
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types []MachineType `cbor:"breeds"`
}

// RentRequest asks the cloud for machines of one type.
type RentRequest struct {
	RequestID   string `cbor:"hire"` // makes retries idempotent
	MachineType string `cbor:"breed"`
	Zone        string `cbor:"field"`
	Spot        bool   `cbor:"windfall"`
	Count       int    `cbor:"count"`
}

// MachineIDs lists the machines that a rental returned, or that are to be returned to the cloud.
type MachineIDs struct {
	Machines []string `cbor:"hearths"`
}

// The states of a machine in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// CloudMachine is one entry of the cloud's list of rented machines.
type CloudMachine struct {
	ID          string  `cbor:"uid"`
	Address     string  `cbor:"address"`
	MachineType string  `cbor:"breed"`
	Zone        string  `cbor:"field"`
	Spot        bool    `cbor:"windfall"`
	State       string  `cbor:"phase"`
	AgeS        float64 `cbor:"ageS"` // seconds since the machine was rented
}

// MachinePage is one page of the cloud's list of rented machines. HasMore is true if further
// pages follow.
type MachinePage struct {
	Machines []CloudMachine `cbor:"hearths"`
	HasMore  bool           `cbor:"hasNext"`
}
