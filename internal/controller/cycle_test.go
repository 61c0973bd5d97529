package controller

import (
	"errors"
	"fmt"
	"testing"

	"ambersill/internal/kvstore"
)

// Errors of the key-value store are classified by their outcome, also if they are wrapped.
func TestClassifyCommitError(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want commitOutcome
	}{
		{"no error", nil, commitApplied},
		{"refused", kvstore.ErrRefused, commitRefused},
		{"over a limit", kvstore.ErrInvalid, commitInvalid},
		{"conflict", &kvstore.ConflictError{Keys: []string{"j/1"}}, commitConflict},
		{"no answer", kvstore.ErrOutcomeUnknown, commitUnknown},
		{"any other error", errors.New("status 500"), commitUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := classifyCommitError(test.err); got != test.want {
				t.Errorf("outcome of the error %d, want %d", got, test.want)
			}
			if test.err == nil {
				return
			}
			if got := classifyCommitError(fmt.Errorf("commit: %w", test.err)); got != test.want {
				t.Errorf("outcome of the wrapped error %d, want %d", got, test.want)
			}
		})
	}
}
