package wire

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// submittedIDModes decode the ID of a job from a body that need not be a valid submission. The
// second is that of versions that took a name in another case for the field; a job that they accepted
// may be submitted again at any time.
var submittedIDModes = []cbor.DecMode{
	newDecMode(func(*cbor.DecOptions) {}),
	newDecMode(func(options *cbor.DecOptions) {
		options.FieldNameMatching = cbor.FieldNameMatchingPreferCaseSensitive
	}),
}

// SubmittedJobIDs returns the IDs under which this version or an earlier one may have stored the job
// in a request body that ParseJob refuses. There are none if the body names no valid ID.
func SubmittedJobIDs(body []byte) []string {
	var ids []string
	for _, mode := range submittedIDModes {
		var job struct {
			ID string `cbor:"uid"`
		}
		if err := mode.Unmarshal(body, &job); err != nil {
			continue
		}
		if ValidJobID(job.ID) && !slices.Contains(ids, job.ID) {
			ids = append(ids, job.ID)
		}
	}
	return ids
}
