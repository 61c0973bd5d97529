package wire

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name             string   `cbor:"sku"`
	CPUs             float64  `cbor:"cores"`
	GPUs             float64  `cbor:"gpus"`
	MemoryGB         float64  `cbor:"ramGb"`
	ImageCacheGB     float64  `cbor:"localGb"`     // disk for images, in GB
	ImageFetchGBPerS float64  `cbor:"pullGbPerS"`  // rate of fetching images, in GB per second
	HourlyPrice      float64  `cbor:"hourly"`      // on demand
	HourlySpotPrice  float64  `cbor:"marketPrice"` // as a spot instance, at present
	BootS            float64  `cbor:"bootS"`       // usual time to boot, in seconds
	Zones            []string `cbor:"fields"`      // zones that offer the type
}

// Catalog lists the machine types.
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

// MachineIDs lists machines that were rented, or that are to be returned.
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
	AgeS        float64 `cbor:"ageS"` // seconds since it was rented
}

// MachinePage is a page of the cloud's list.
type MachinePage struct {
	Machines []CloudMachine `cbor:"hearths"`
	HasMore  bool           `cbor:"hasNext"`
}
