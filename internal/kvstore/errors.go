package kvstore

import (
	"errors"
	"fmt"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrNotFound is returned if the key or the lease of the request does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused is returned if the request exceeded a rate limit or the store was
	// unavailable. It was not executed, and may be retried.
	ErrRefused = errors.New("request refused")
	// ErrOutcomeUnknown is returned if there was no valid response. The request may have been
	// executed, or may still be executed if the network delayed it.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrCompacted is returned if a watch started at a revision that the store no longer
	// keeps. The caller has to list the keys again.
	ErrCompacted = errors.New("revision compacted")
	// ErrInvalid is returned if the request is malformed or exceeds a size limit. It was not
	// executed, and would fail again if it were retried unchanged.
	ErrInvalid = errors.New("invalid request")
	// ErrLeaseNotFound is returned if a transaction attaches a key to a lease that does not
	// exist, such as one that has expired.
	ErrLeaseNotFound = errors.New("lease not found")
)

// errRateLimited is the cause of ErrRefused if this client did not send the request.
var errRateLimited = errors.New("waiting for the rate limit of this client")

// ConflictError lists the keys whose revisions differed from those that a transaction
// expected. The transaction was not executed.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("revision conflict on keys %q", e.Keys) }

// OperationError names the operation that failed and its target. Err is or wraps one of the
// errors above, or is a *transport.StatusError.
type OperationError struct {
	Operation string
	Target    string // keys, a prefix, a lease ID, or the time to live of a new lease
	Err       error
}

func (e *OperationError) Error() string {
	return fmt.Sprintf("key-value store: %s %q: %v", e.Operation, e.Target, e.Err)
}

func (e *OperationError) Unwrap() error { return e.Err }
