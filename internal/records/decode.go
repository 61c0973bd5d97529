package records

import (
	"fmt"

	"ambersill/internal/wire"
)

// The types below have those fields of a record as pointers, or encoded, of which a missing one could
// not be distinguished from a valid zero value. A record that is read with a zero value in the place of a
// missing field could end a job, hide its demand or move a machine to another partition.

type jobRecordFields struct {
	JobRecord
	Partition     *int   `cbor:"p"`
	SubmittedAtMS *int64 `cbor:"at"`
}

type chunkRecordFields struct {
	ChunkRecord
	HighestAttempt *uint64 `cbor:"try"`
}

type machineRecordFields struct {
	MachineRecord
	Spot      *bool `cbor:"spot"`
	Partition *int  `cbor:"part"`
}

type rentalRecordFields struct {
	RentalRecord
	Spot      *bool `cbor:"spot"`
	Partition *int  `cbor:"part"`
}

type levelRecordFields struct {
	Level *FeatureLevel `cbor:"level"`
}

type partitionSummaryFields struct {
	PartitionSummary
	Waiting           wire.Raw `cbor:"waiting"` // may be null if no task waits
	DigestRecordCount *int     `cbor:"notes"`
}

// DecodeMessage decodes a job's record. It returns a *wire.ValidationError if a field is missing.
func (r *JobRecord) DecodeMessage(encoded []byte) error {
	var fields jobRecordFields
	if err := wire.DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := wire.CheckRequired(
		wire.RequiredField{Name: "job", Present: fields.Job != nil},
		wire.RequiredField{Name: "ph", Present: fields.Phase != ""},
		wire.RequiredField{Name: "p", Present: fields.Partition != nil},
		wire.RequiredField{Name: "at", Present: fields.SubmittedAtMS != nil},
	); err != nil {
		return err
	}
	*r = fields.JobRecord
	r.Partition, r.SubmittedAtMS = *fields.Partition, *fields.SubmittedAtMS
	return r.Job.CheckStored()
}

// DecodeMessage decodes a chunk. It returns a *wire.ValidationError if the highest attempt is missing, or
// a field of the job's description.
func (r *ChunkRecord) DecodeMessage(encoded []byte) error {
	var fields chunkRecordFields
	if err := wire.DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := wire.CheckRequired(wire.RequiredField{Name: "try", Present: fields.HighestAttempt != nil}); err != nil {
		return err
	}
	*r = fields.ChunkRecord
	r.HighestAttempt = *fields.HighestAttempt
	if r.Job == nil {
		return nil
	}
	return r.Job.CheckStored()
}

// DecodeMessage decodes a journal record. It returns a *wire.ValidationError if a field is missing.
func (r *JournalRecord) DecodeMessage(encoded []byte) error {
	if err := wire.DecodeFields(encoded, r); err != nil {
		return err
	}
	return wire.CheckRequired(
		wire.RequiredField{Name: "q", Present: r.Sequence != 0},
		wire.RequiredField{Name: "e", Present: r.Entries != nil},
	)
}

// DecodeMessage decodes a machine's record. It returns a *wire.ValidationError if a field is missing.
func (r *MachineRecord) DecodeMessage(encoded []byte) error {
	var fields machineRecordFields
	if err := wire.DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := fields.checkRequired(); err != nil {
		return err
	}
	*r = fields.record()
	return nil
}

func (f *machineRecordFields) checkRequired() error {
	if err := wire.CheckRequired(
		wire.RequiredField{Name: "spot", Present: f.Spot != nil},
		wire.RequiredField{Name: "part", Present: f.Partition != nil},
	); err != nil {
		return err
	}
	return f.checkNonZero()
}

// checkNonZero checks the fields that are never zero.
func (r *MachineRecord) checkNonZero() error {
	return wire.CheckRequired(
		wire.RequiredField{Name: "type", Present: r.MachineType != ""},
		wire.RequiredField{Name: "zone", Present: r.Zone != ""},
		wire.RequiredField{Name: "born", Present: r.CreatedAtMS != 0},
	)
}

// record returns the record that the fields describe. All of them must be present.
func (f *machineRecordFields) record() MachineRecord {
	record := f.MachineRecord
	record.Spot, record.Partition = *f.Spot, *f.Partition
	return record
}

// DecodeMessage decodes a machine group. It returns a *wire.ValidationError if a field of a machine is
// missing that is never zero. The others are not checked, since every controller decodes a whole group
// at each of its changes. Machines is nil if the record is not that of a group.
func (g *MachineGroupRecord) DecodeMessage(encoded []byte) error {
	if err := wire.DecodeFields(encoded, g); err != nil {
		return err
	}
	for id, machine := range g.Machines {
		if err := machine.checkNonZero(); err != nil {
			return fmt.Errorf("machine %s: %w", id, err)
		}
	}
	return nil
}

// DecodeMessage decodes a rental. It returns a *wire.ValidationError if a field is missing.
func (r *RentalRecord) DecodeMessage(encoded []byte) error {
	var fields rentalRecordFields
	if err := wire.DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := wire.CheckRequired(
		wire.RequiredField{Name: "type", Present: fields.MachineType != ""},
		wire.RequiredField{Name: "zone", Present: fields.Zone != ""},
		wire.RequiredField{Name: "spot", Present: fields.Spot != nil},
		wire.RequiredField{Name: "n", Present: fields.Count != 0},
		wire.RequiredField{Name: "part", Present: fields.Partition != nil},
		wire.RequiredField{Name: "at", Present: fields.RecordedAtMS != 0},
	); err != nil {
		return err
	}
	*r = fields.RentalRecord
	r.Spot, r.Partition = *fields.Spot, *fields.Partition
	return nil
}

// DecodeMessage decodes an owner. It returns a *wire.ValidationError if the node's name is missing.
func (r *OwnerRecord) DecodeMessage(encoded []byte) error {
	if err := wire.DecodeFields(encoded, r); err != nil {
		return err
	}
	return wire.CheckRequired(wire.RequiredField{Name: "node", Present: r.Node != ""})
}

// DecodeMessage decodes a node. It returns a *wire.ValidationError if its name is missing.
func (r *NodeRecord) DecodeMessage(encoded []byte) error {
	if err := wire.DecodeFields(encoded, r); err != nil {
		return err
	}
	return wire.CheckRequired(wire.RequiredField{Name: "node", Present: r.Node != ""})
}

// DecodeMessage decodes a feature level. It returns a *wire.ValidationError if it is missing.
func (r *LevelRecord) DecodeMessage(encoded []byte) error {
	var fields levelRecordFields
	if err := wire.DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := wire.CheckRequired(wire.RequiredField{Name: "level", Present: fields.Level != nil}); err != nil {
		return err
	}
	r.Level = *fields.Level
	return nil
}

// DecodeMessage decodes the main record of a summary. It returns a *wire.ValidationError if a field is
// missing: a summary without its list of waiting tasks does not show that none waits.
func (s *PartitionSummary) DecodeMessage(encoded []byte) error {
	var fields partitionSummaryFields
	if err := wire.DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := wire.CheckRequired(
		wire.RequiredField{Name: "booked", Present: fields.AllocatedMachines != nil},
		wire.RequiredField{Name: "firm", Present: fields.AllocatedOnDemand != nil},
		wire.RequiredField{Name: "waiting", Present: fields.Waiting != nil},
		wire.RequiredField{Name: "notes", Present: fields.DigestRecordCount != nil},
	); err != nil {
		return err
	}
	*s = fields.PartitionSummary
	s.DigestRecordCount = *fields.DigestRecordCount
	return wire.DecodeFields(fields.Waiting, &s.Waiting)
}
