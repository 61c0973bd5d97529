package wire

import "fmt"

// Limits on the fields of a submitted job.
const (
	maxTasks        = 100000 // maximum number of tasks in a job, fixed by the protocol
	maxNameBytes    = 200    // length limit of names, which are stored in records of limited size
	maxMachineTypes = 64     // maximum number of machine types that a job may list
	// maxMachineTypeNamesBytes limits the total length of a job's machine type names, since they
	// are stored in the job's record, which has a limited size.
	maxMachineTypeNamesBytes = 1024
	// maxAmount limits resources, and durations in seconds. Larger values are treated as errors
	// because no real job has them.
	maxAmount = 1e9
)

// ValidationError reports a missing or invalid field of a message.
type ValidationError struct {
	Field   string // name of the field in the protocol
	Problem string
}

func (e *ValidationError) Error() string { return e.Field + ": " + e.Problem }

func newValidationError(field, format string, args ...any) error {
	return &ValidationError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// submission has the fields of Job as pointers, so that a missing field can be distinguished from
// a zero value.
type submission struct {
	ID                  *string   `cbor:"uid"`
	Class               *string   `cbor:"lane"`
	Team                *string   `cbor:"crew"`
	Shape               *JobShape `cbor:"shape"`
	Priority            *Priority `cbor:"rank"`
	TaskCount           *int64    `cbor:"pieces"`
	CPUs                *float64  `cbor:"cores"`
	GPUs                *float64  `cbor:"gpus"`
	MemoryGB            *float64  `cbor:"ramGb"`
	Image               *string   `cbor:"pattern"`
	ImageGB             *float64  `cbor:"imageGb"`
	MachineTypes        *[]string `cbor:"breeds"`
	Zone                *string   `cbor:"field"`
	SingleZone          *bool     `cbor:"samePlace"`
	SpreadZones         *bool     `cbor:"spread"`
	AllowSpot           *bool     `cbor:"windfall"`
	EstimatedRunS       *float64  `cbor:"guessS"`
	CheckpointIntervalS *float64  `cbor:"stitchS"`
	CheckpointSaveS     *float64  `cbor:"bankS"`
	DeadlineS           *float64  `cbor:"dueS"`
}

// ParseJob decodes and validates a submitted job. It returns a *ValidationError if a field is
// missing or invalid, or a decoding error. Both are caused by the request, so retrying it
// unchanged fails again. The error texts are sent to users in the response to the submission.
func ParseJob(body []byte) (*Job, error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("not a job: %w", err)
	}
	if err := s.checkRequired(); err != nil {
		return nil, err
	}
	// The checks below dereference the required fields, so those must be present.
	for _, check := range []func() error{
		s.checkID,
		s.checkTasks,
		s.checkShape,
		s.checkPriority,
		s.checkNames,
		s.checkAmounts,
		s.checkRunTime,
		s.checkMachineTypes,
		s.checkZone,
		s.checkDeadline,
	} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return s.job(), nil
}

func (s *submission) checkRequired() error {
	for _, required := range []struct {
		field   string
		missing bool
	}{
		{"uid", s.ID == nil},
		{"lane", s.Class == nil},
		{"crew", s.Team == nil},
		{"shape", s.Shape == nil},
		{"rank", s.Priority == nil},
		{"pieces", s.TaskCount == nil},
		{"cores", s.CPUs == nil},
		{"gpus", s.GPUs == nil},
		{"ramGb", s.MemoryGB == nil},
		{"pattern", s.Image == nil},
		{"imageGb", s.ImageGB == nil},
		{"samePlace", s.SingleZone == nil},
		{"spread", s.SpreadZones == nil},
		{"windfall", s.AllowSpot == nil},
		{"guessS", s.EstimatedRunS == nil},
		{"stitchS", s.CheckpointIntervalS == nil},
		{"bankS", s.CheckpointSaveS == nil},
	} {
		if required.missing {
			return newValidationError(required.field, "missing")
		}
	}
	return nil
}

func (s *submission) checkID() error {
	if !ValidJobID(*s.ID) {
		return newValidationError("uid", "not a job ID")
	}
	return nil
}

func (s *submission) checkTasks() error {
	if *s.TaskCount < 1 || *s.TaskCount > maxTasks {
		return newValidationError("pieces", "must be from 1 to %d", maxTasks)
	}
	return nil
}

func (s *submission) checkShape() error {
	switch *s.Shape {
	case ArrayJob, GangJob, ServiceJob:
		return nil
	}
	return newValidationError("shape", "unknown")
}

func (s *submission) checkPriority() error {
	if s.Priority.Value() == unknownPriority {
		return newValidationError("rank", "unknown")
	}
	return nil
}

func (s *submission) checkNames() error {
	for _, name := range []struct{ field, value string }{
		{"lane", *s.Class},
		{"crew", *s.Team},
		{"pattern", *s.Image},
	} {
		if err := checkName(name.field, name.value); err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return newValidationError(field, "must have 1 to %d bytes", maxNameBytes)
	}
	return nil
}

func (s *submission) checkAmounts() error {
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"cores", *s.CPUs},
		{"gpus", *s.GPUs},
		{"ramGb", *s.MemoryGB},
		{"imageGb", *s.ImageGB},
		{"guessS", *s.EstimatedRunS},
		{"stitchS", *s.CheckpointIntervalS},
		{"bankS", *s.CheckpointSaveS},
	} {
		// The condition is negated so that it also rejects NaN, for which every comparison is
		// false.
		if !(amount.value >= 0 && amount.value <= maxAmount) {
			return newValidationError(amount.field, "must be from 0 to %g", maxAmount)
		}
	}
	return nil
}

func (s *submission) checkRunTime() error {
	if *s.Shape == ServiceJob && *s.EstimatedRunS != 0 {
		return newValidationError("guessS", "must be 0 for a service, which runs until it is cancelled")
	}
	return nil
}

func (s *submission) checkMachineTypes() error {
	if s.MachineTypes == nil {
		return nil
	}
	names := *s.MachineTypes
	if len(names) == 0 || len(names) > maxMachineTypes {
		return newValidationError("breeds", "must have 1 to %d entries, or be left out", maxMachineTypes)
	}
	total := 0
	for _, name := range names {
		total += len(name)
		if name == "" || total > maxMachineTypeNamesBytes {
			return newValidationError("breeds", "must not have empty names, nor over %d bytes together", maxMachineTypeNamesBytes)
		}
	}
	return nil
}

func (s *submission) checkZone() error {
	if s.Zone == nil {
		return nil
	}
	return checkName("field", *s.Zone)
}

func (s *submission) checkDeadline() error {
	if s.DeadlineS != nil && !(*s.DeadlineS > 0 && *s.DeadlineS <= maxAmount) {
		return newValidationError("dueS", "must be above 0 and at most %g, or be left out", maxAmount)
	}
	return nil
}

// job converts a validated submission to a Job.
func (s *submission) job() *Job {
	job := &Job{
		ID:                  *s.ID,
		Class:               *s.Class,
		Team:                *s.Team,
		Shape:               *s.Shape,
		Priority:            *s.Priority,
		TaskCount:           int(*s.TaskCount),
		CPUs:                *s.CPUs,
		GPUs:                *s.GPUs,
		MemoryGB:            *s.MemoryGB,
		Image:               *s.Image,
		ImageGB:             *s.ImageGB,
		SingleZone:          *s.SingleZone,
		SpreadZones:         *s.SpreadZones,
		AllowSpot:           *s.AllowSpot,
		EstimatedRunS:       *s.EstimatedRunS,
		CheckpointIntervalS: *s.CheckpointIntervalS,
		CheckpointSaveS:     *s.CheckpointSaveS,
	}
	if s.MachineTypes != nil {
		job.MachineTypes = *s.MachineTypes
	}
	if s.Zone != nil {
		job.Zone = *s.Zone
	}
	if s.DeadlineS != nil {
		job.DeadlineS = *s.DeadlineS
	}
	return job
}
