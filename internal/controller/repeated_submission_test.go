// Tests of submissions of jobs that are stored already, with a body that is refused for a new job.

package controller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// refusedSubmission is a change after which the description of a job is refused with status 400. Earlier
// versions and other settings accepted some of them.
type refusedSubmission struct {
	name    string
	change  jobOption
	missing string // name of the field that is left out; none if empty
	// capitals is the name of a field whose name is written in capitals; none if empty.
	capitals string
}

var refusedSubmissions = []refusedSubmission{
	{name: "field missing", missing: "gpus"},
	{name: "field in capitals", capitals: "gpus"},
	{name: "ID in capitals", capitals: "uid"},
	{name: "unknown shape", change: func(job *wire.Job) { job.Shape = "pair" }},
	{name: "overlong name", change: func(job *wire.Job) { job.Image = strings.Repeat("x", 201) }},
	{name: "too large for a record", change: func(job *wire.Job) {
		job.Class, job.Image = strings.Repeat("x", 200), strings.Repeat("x", 200)
		job.MachineTypes = []string{"small", strings.Repeat("x", 500), strings.Repeat("y", 500)}
	}},
}

// body returns the body of a submission of the job with number n.
func (r *refusedSubmission) body(n int) map[string]any {
	job := newSmallMachineJob(n, 1, 8, 10)
	if r.change != nil {
		r.change(job)
	}
	fields := submissionOf(job)
	delete(fields, r.missing)
	if value, ok := fields[r.capitals]; ok {
		delete(fields, r.capitals)
		fields[strings.ToUpper(r.capitals)] = value
	}
	return fields
}

// submissionOf returns the fields of a job's submission.
func submissionOf(job *wire.Job) map[string]any {
	fields := map[string]any{}
	if err := wire.Unmarshal(must(wire.Marshal(job)), &fields); err != nil {
		panic(err)
	}
	return fields
}

// submitTo sends a submission to a node, and returns the status of its answer.
func (cluster *simulatedCluster) submitTo(node emulator.Node, body any) int {
	client := transport.Client(cluster.network.Host("user"), 1, 1, time.Second)
	defer client.CloseIdleConnections()
	response, err := transport.Send(cluster.ctx, client, http.MethodPost, "http://"+node.Addr+"/work", body)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	transport.Discard(response)
	return response.StatusCode
}

// Guards against accepted jobs that are forgotten: a repeated submission was refused with 400 by checks
// that the version or the settings which accepted the job did not have. The same body is refused for a
// job that is not stored.
func TestRepeatedSubmissionIsAnsweredByStoredJob(t *testing.T) {
	simulate(t, 1, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.announcedStoreLimits = &loweredLimits
		cluster.startNodes()
		time.Sleep(10 * second)
		if status := cluster.submitTo(cluster.nodes[0], newSmallMachineJob(1, 1, 8, 10)); status != http.StatusCreated {
			t.Fatalf("first submission: got status %d, want 201", status)
		}
		for i, refused := range refusedSubmissions {
			for _, node := range cluster.nodes {
				if status := cluster.submitTo(node, refused.body(1)); status != http.StatusOK {
					t.Errorf("repeated submission, %s, to %s: got status %d, want 200", refused.name, node.Name, status)
				}
			}
			if status := cluster.submitTo(cluster.nodes[0], refused.body(i+2)); status != http.StatusBadRequest {
				t.Errorf("submission of another job, %s: got status %d, want 400", refused.name, status)
			}
		}
	})
}
