package kvstore

import (
	"errors"
	"fmt"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrNotFound reports that the key or the lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused reports that the request was certainly not executed, and may be retried.
	ErrRefused = errors.New("refused")
	// ErrOutcomeUnknown reports that there was no valid response: the request may have
	// been executed, and a request that was delayed may still be.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrCompacted reports that a watch began at a revision that is no longer kept; the
	// keys have to be listed again.
	ErrCompacted = errors.New("revision compacted")
	// ErrInvalid reports that the request is malformed or over a size limit. It was not
	// executed, and retrying it unchanged is useless.
	ErrInvalid = errors.New("invalid request")
	// ErrLeaseNotFound reports that a transaction named a lease that has expired.
	ErrLeaseNotFound = errors.New("lease not found")
)

// errRateLimited is the cause of refusals by this client itself.
var errRateLimited = errors.New("rate limit")

// ConflictError reports the keys whose revisions differed from what a transaction expected.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("conflict on %q", e.Keys) }

// OperationError reports the operation that failed, and the key, prefix or lease that it
// was for. Its cause is one of the errors above, or a *transport.StatusError.
type OperationError struct {
	Operation string
	Target    string // a key, a prefix or a lease ID
	Err       error
}

func (e *OperationError) Error() string {
	return fmt.Sprintf("key-value store: %s %q: %v", e.Operation, e.Target, e.Err)
}

func (e *OperationError) Unwrap() error { return e.Err }
