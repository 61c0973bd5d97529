package controller

import (
	"errors"
	"fmt"
	"testing"

	"ambersill/internal/kvstore"
)

// What an owner does after a commit depends on its outcome alone, also if the store's error is
// wrapped.
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
				t.Errorf("outcome %d, want %d", got, test.want)
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
