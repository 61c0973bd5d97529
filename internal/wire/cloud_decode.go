package wire

import "fmt"

// The types below have those fields of a message as pointers of which a missing one could not be
// distinguished from a valid zero value.

type catalogFields struct {
	Types []machineTypeFields `cbor:"breeds"`
}

type machineTypeFields struct {
	MachineType
	CPUs             *float64 `cbor:"cores"`
	GPUs             *float64 `cbor:"gpus"`
	MemoryGB         *float64 `cbor:"ramGb"`
	ImageCacheGB     *float64 `cbor:"localGb"`
	ImageFetchGBPerS *float64 `cbor:"pullGbPerS"`
	HourlyPrice      *float64 `cbor:"hourly"`
	HourlySpotPrice  *float64 `cbor:"marketPrice"`
	BootS            *float64 `cbor:"bootS"`
}

type machinePageFields struct {
	Machines []cloudMachineFields `cbor:"hearths"`
	HasMore  *bool                `cbor:"hasNext"`
}

type cloudMachineFields struct {
	CloudMachine
	Spot *bool    `cbor:"windfall"`
	AgeS *float64 `cbor:"ageS"`
}

// DecodeMessage decodes the catalog. It returns a *ValidationError if a field is missing: a type whose
// price is missing, for example, does not cost nothing.
func (c *Catalog) DecodeMessage(encoded []byte) error {
	var fields catalogFields
	if err := DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := CheckRequired(RequiredField{Name: "breeds", Present: fields.Types != nil}); err != nil {
		return err
	}
	types := make([]MachineType, len(fields.Types))
	for i := range fields.Types {
		if err := fields.Types[i].checkRequired(); err != nil {
			return fmt.Errorf("breeds[%d]: %w", i, err)
		}
		types[i] = fields.Types[i].machineType()
	}
	c.Types = types
	return nil
}

func (f *machineTypeFields) checkRequired() error {
	return CheckRequired(
		RequiredField{Name: "sku", Present: f.Name != ""},
		RequiredField{Name: "cores", Present: f.CPUs != nil},
		RequiredField{Name: "gpus", Present: f.GPUs != nil},
		RequiredField{Name: "ramGb", Present: f.MemoryGB != nil},
		RequiredField{Name: "localGb", Present: f.ImageCacheGB != nil},
		RequiredField{Name: "pullGbPerS", Present: f.ImageFetchGBPerS != nil},
		RequiredField{Name: "hourly", Present: f.HourlyPrice != nil},
		RequiredField{Name: "marketPrice", Present: f.HourlySpotPrice != nil},
		RequiredField{Name: "bootS", Present: f.BootS != nil},
		RequiredField{Name: "fields", Present: f.Zones != nil},
	)
}

// machineType returns the machine type that the fields describe. All of them must be present.
func (f *machineTypeFields) machineType() MachineType {
	return MachineType{
		Name:             f.Name,
		CPUs:             *f.CPUs,
		GPUs:             *f.GPUs,
		MemoryGB:         *f.MemoryGB,
		ImageCacheGB:     *f.ImageCacheGB,
		ImageFetchGBPerS: *f.ImageFetchGBPerS,
		HourlyPrice:      *f.HourlyPrice,
		HourlySpotPrice:  *f.HourlySpotPrice,
		BootS:            *f.BootS,
		Zones:            f.Zones,
	}
}

// DecodeMessage decodes a list of machines. It returns a *ValidationError if the list is missing.
func (m *MachineIDs) DecodeMessage(encoded []byte) error {
	if err := DecodeFields(encoded, m); err != nil {
		return err
	}
	return CheckRequired(RequiredField{Name: "hearths", Present: m.Machines != nil})
}

// DecodeMessage decodes a page of the list of machines. It returns a *ValidationError if a field is
// missing: machines that a page without its list leaves out have not vanished.
func (p *MachinePage) DecodeMessage(encoded []byte) error {
	var fields machinePageFields
	if err := DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := CheckRequired(
		RequiredField{Name: "hearths", Present: fields.Machines != nil},
		RequiredField{Name: "hasNext", Present: fields.HasMore != nil},
	); err != nil {
		return err
	}
	machines := make([]CloudMachine, len(fields.Machines))
	for i := range fields.Machines {
		if err := fields.Machines[i].checkRequired(); err != nil {
			return fmt.Errorf("hearths[%d]: %w", i, err)
		}
		machines[i] = fields.Machines[i].cloudMachine()
	}
	*p = MachinePage{Machines: machines, HasMore: *fields.HasMore}
	return nil
}

func (f *cloudMachineFields) checkRequired() error {
	return CheckRequired(
		RequiredField{Name: "uid", Present: f.ID != ""},
		RequiredField{Name: "address", Present: f.Address != ""},
		RequiredField{Name: "breed", Present: f.MachineType != ""},
		RequiredField{Name: "field", Present: f.Zone != ""},
		RequiredField{Name: "windfall", Present: f.Spot != nil},
		RequiredField{Name: "phase", Present: f.State != ""},
		RequiredField{Name: "ageS", Present: f.AgeS != nil},
	)
}

// cloudMachine returns the machine that the fields describe. All of them must be present.
func (f *cloudMachineFields) cloudMachine() CloudMachine {
	machine := f.CloudMachine
	machine.Spot, machine.AgeS = *f.Spot, *f.AgeS
	return machine
}
