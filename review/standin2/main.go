//go:build review2

// Command standin2 plays the cases of the second review. It serves stand-ins of the cloud, the
// workers and the users, and the project's emulator of the state service, on loopback, and starts
// controllers as separate processes:
//
//	standin2 CASE PROGRAM RECORD
//
// It writes what was sent, answered and run to the file RECORD, and exits with 0 if the rule held,
// 1 if it was broken and 2 if the case could not be played. With TROUBLE=0 in its environment it
// leaves the disruption out.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// limitS ends a case that takes too long, before the 120 s that it may take.
const limitS = 116

var errPlay = errors.New("the case could not be played")

// play plays a case, and returns whether the rule was broken.
type play func(c *cluster) (broken bool, err error)

var cases = map[string]play{
	"work-hidden-by-late-write": workHiddenByLateWrite,
	"replica-of-lost-machine":   replicaOfLostMachine,
	"field-nobody-knows":        fieldNobodyKnows,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(notPlayed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(p play, program, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), limitS*time.Second)
	defer cancel()
	c := &cluster{
		program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		world: &world{
			ctx: ctx, record: record, begun: time.Now(),
			jobs: map[string]*job{}, hires: map[string][]string{}, workers: map[string]*worker{},
		},
	}
	defer c.stop()
	broken, err := p(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.log("not played: %v", err)
		return notPlayed
	case broken:
		c.log("result: the rule was broken")
		return ruleBroken
	}
	c.log("result: the rule held")
	return ruleHeld
}

// cluster is the stand-ins with the controllers.
type cluster struct {
	*world
	program   string
	dir       string
	trouble   bool
	processes []*exec.Cmd
}

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log(format, args...)
}

// start starts the stand-ins and one controller for each zone, and waits until all are up.
func (c *cluster) start(program, clusterSettings string, zones []string) error {
	state, err := c.serveStore()
	if err != nil {
		return err
	}
	cloud, err := c.serveCloud()
	if err != nil {
		return err
	}
	addresses, err := freePorts(2 * len(zones))
	if err != nil {
		return err
	}
	for i, zone := range zones {
		c.nodes = append(c.nodes, node{
			name: fmt.Sprintf("hearth-%d", i), zone: zone, public: addresses[2*i], mesh: addresses[2*i+1],
		})
	}
	c.processes = make([]*exec.Cmd, len(c.nodes))
	for i := range c.nodes {
		if err := os.WriteFile(c.path(i, ".toml"), []byte(c.settings(i, clusterSettings, cloud, state)), 0o600); err != nil {
			return err
		}
		if err := c.startController(i, program); err != nil {
			return err
		}
	}
	return c.waitUntilUp()
}

// path returns the path of a controller's file.
func (c *cluster) path(index int, suffix string) string {
	return filepath.Join(c.dir, c.nodes[index].name+suffix)
}

func (c *cluster) startController(index int, program string) error {
	log, err := os.OpenFile(c.path(index, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "--config", c.path(index, ".toml")) //nolint:gosec // the project's own program
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.processes[index] = cmd
	c.note("started %s with %s, process %d", c.nodes[index].name, filepath.Base(program), cmd.Process.Pid)
	return nil
}

// kill ends a controller without a signal that it could handle.
func (c *cluster) kill(index int) {
	cmd := c.processes[index]
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	c.processes[index] = nil
	c.note("killed %s", c.nodes[index].name)
}

// stop ends the controllers, and copies their logs into the record.
func (c *cluster) stop() {
	for i := range c.processes {
		c.kill(i)
	}
	for i := range c.nodes {
		log, err := os.ReadFile(c.path(i, ".log"))
		if err == nil {
			fmt.Fprintf(c.record, "\nlog of %s:\n%s", c.nodes[i].name, log)
		}
	}
}

// Free ports are looked for below those that the system gives to outgoing connections, one of which
// could otherwise take a controller's port before it listens. Where the search begins depends on the
// process, so that scripts that run side by side take different ports.
const (
	lowestPort  = 12000
	highestPort = 30000
	portsEach   = 6
)

// freePorts returns free loopback addresses. None of them is given out before all are found.
func freePorts(count int) ([]string, error) {
	var found []string
	port := lowestPort + os.Getpid()*portsEach%(highestPort-lowestPort)
	for tried := 0; len(found) < count && tried < highestPort-lowestPort; tried++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		port = lowestPort + (port+1-lowestPort)%(highestPort-lowestPort)
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		found = append(found, address)
	}
	if len(found) < count {
		return nil, fmt.Errorf("%w: no free ports", errPlay)
	}
	return found, nil
}

func (c *cluster) waitUntilUp() error {
	deadline := time.Now().Add(15 * time.Second)
	for i := range c.nodes {
		for {
			status, _, err := send(c.ctx, userClient, http.MethodGet, "http://"+c.nodes[i].public+"/up", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s does not come up", errPlay, c.nodes[i].name)
			}
			sleep(c.ctx, 100*time.Millisecond)
		}
	}
	c.note("all controllers are up")
	return nil
}

// userClient opens a connection for each request, as many users do.
var userClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   5 * time.Second,
}

// userEncoding is the deterministic encoding of RFC 8949, which sorts a map's keys by their bytes.
var userEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

type jobStatus struct {
	UID     string `cbor:"uid"`
	Phase   string `cbor:"phase"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// ask sends a user's request to a controller until one of the wanted statuses is answered.
func (c *cluster) ask(method, path string, message any, wanted ...int) (jobStatus, error) {
	var body []byte
	if message != nil {
		var err error
		if body, err = userEncoding.Marshal(message); err != nil {
			return jobStatus{}, err
		}
	}
	for c.ctx.Err() == nil {
		n := c.nodes[rand.IntN(len(c.nodes))]
		status, answer, err := send(c.ctx, userClient, method, "http://"+n.public+path, body)
		var s jobStatus
		_ = cbor.Unmarshal(answer, &s)
		c.note("%s %s at %s: %d phase=%s done=%d running=%d err=%v", method, path, n.name, status, s.Phase, s.Done, s.Running, err)
		for _, code := range wanted {
			if err == nil && status == code {
				return s, nil
			}
		}
		sleep(c.ctx, time.Second)
	}
	return jobStatus{}, fmt.Errorf("%w: no answer to %s %s", errPlay, method, path)
}

func (c *cluster) submit(j *job) error { return c.submitAs(j, j) }

// submitAs submits a job with the given message.
func (c *cluster) submitAs(j *job, message any) error {
	j.done, j.saved = map[int]bool{}, map[int]float64{}
	c.mu.Lock()
	c.jobs[j.UID] = j
	c.mu.Unlock()
	_, err := c.ask(http.MethodPost, "/work", message, http.StatusCreated, http.StatusOK)
	return err
}

// fieldsOf returns the fields of a job's submission by name.
func fieldsOf(j *job) (map[string]any, error) {
	body, err := cbor.Marshal(j)
	if err != nil {
		return nil, err
	}
	fields := map[string]any{}
	return fields, cbor.Unmarshal(body, &fields)
}

// askOnce sends a user's request to the first controller, and returns the status of its answer.
func (c *cluster) askOnce(method, path string, message any) (int, error) {
	body, err := userEncoding.Marshal(message)
	if err != nil {
		return 0, err
	}
	status, _, err := send(c.ctx, userClient, method, "http://"+c.nodes[0].public+path, body)
	c.note("%s %s at %s: %d err=%v; fields: %v", method, path, c.nodes[0].name, status, err, message)
	return status, err
}

func (c *cluster) query(j *job) (jobStatus, error) {
	return c.ask(http.MethodGet, "/work/"+j.UID, nil, http.StatusOK)
}

// waitFor waits until a condition, which is evaluated with mu held, is true.
func (c *cluster) waitFor(what string, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && c.ctx.Err() == nil {
		c.mu.Lock()
		ok := condition()
		c.mu.Unlock()
		if ok {
			return nil
		}
		sleep(c.ctx, 20*time.Millisecond)
	}
	return fmt.Errorf("%w: %s", errPlay, what)
}
