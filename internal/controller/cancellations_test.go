package controller

import (
	"testing"
	"time"

	"ambersill/internal/tuning"
)

// With the age of its knowledge of cancellations an owner first stops to start tasks, and
// then to answer heartbeats.
func TestKnowledgeOfCancellationsAges(t *testing.T) {
	c := isolatedController()
	startLimit := tuning.Seconds(c.tuning.FreshS)
	answerLimit := c.heartbeatAnswerLimit()
	tests := []struct {
		name string
		age  time.Duration
		want cancellationKnowledge
	}{
		{"just read", 0, cancellationKnowledge{startsTasks: true, answersHeartbeats: true}},
		{"just new enough to start", startLimit - 1, cancellationKnowledge{startsTasks: true, answersHeartbeats: true}},
		{"too old to start", startLimit, cancellationKnowledge{answersHeartbeats: true}},
		{"just new enough to answer", answerLimit, cancellationKnowledge{answersHeartbeats: true}},
		{"too old to answer", answerLimit + 1, cancellationKnowledge{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := c.cancellationKnowledgeAt(test.age); got != test.want {
				t.Errorf("at the age %v %+v, want %+v", test.age, got, test.want)
			}
		})
	}
}
