package scheduler

import (
	"fmt"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

var testMachineTypes = []wire.MachineType{
	{
		Name:             "cpu",
		CPUs:             8,
		MemoryGB:         32,
		ImageFetchGBPerS: 1,
		HourlyPrice:      1,
		HourlySpotPrice:  0.4,
		BootS:            30,
		Zones:            []string{"a", "b"},
	},
	{
		Name:             "gpu",
		CPUs:             16,
		GPUs:             4,
		MemoryGB:         64,
		ImageFetchGBPerS: 1,
		HourlyPrice:      8,
		HourlySpotPrice:  3,
		BootS:            40,
		Zones:            []string{"a", "b"},
	},
}

func testSettings() *config.Settings {
	settings := &config.Settings{}
	cluster := &settings.Cluster
	cluster.Teams = []config.Team{
		{Name: "limited", MaxCPUs: 10, MaxGPUs: 3},
		{Name: "sure", GPUs: 2},
		{Name: "free"},
	}
	cluster.WorkerTiming.HeartbeatIntervalS = 2
	cluster.WorkerTiming.LeaseDurationS = 14
	cluster.WorkerTiming.CancelDeadlineS = 44
	cluster.WorkerTiming.GangPeerTimeoutS = 5
	cluster.Store.MaxValueKiB = 8
	cluster.Store.MaxTxnWrites = 12
	return settings
}

// partitionHarness wraps a partition and simulates the key-value store and the workers.
type partitionHarness struct {
	*Partition
	now                time.Time
	revision           uint64
	heartbeatSequences map[string]uint64 // sequence number of the last heartbeat, by machine ID
	// workerTasks contains the tasks that each worker reports, by machine ID.
	workerTasks map[string]map[taskAttempt]wire.TaskStatus
}

func newPartitionHarness() *partitionHarness {
	defaults := tuning.Default()
	harness := &partitionHarness{
		Partition:          NewPartition(0, 10, testSettings(), &defaults),
		now:                time.Unix(1000, 0),
		revision:           100,
		heartbeatSequences: map[string]uint64{},
		workerTasks:        map[string]map[taskAttempt]wire.TaskStatus{},
	}
	harness.SetMachineTypes(testMachineTypes)
	return harness
}

// newHarnessWithPlacedJob returns a harness whose partition has machine m-1, on which the tasks of
// job req-1 are placed, with one CPU each. The placements are committed, but no start has been
// sent.
func newHarnessWithPlacedJob(tasks int) *partitionHarness {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", tasks, 1))
	harness.scheduleAndCommit()
	return harness
}

// addMachine adds a machine and sends two heartbeats, with which its worker acknowledges the
// partition's fencing token.
func (h *partitionHarness) addMachine(id, machineType, zone string, spot bool) {
	h.revision++
	h.SetMachine(id, records.MachineRecord{MachineType: machineType, Zone: zone, Spot: spot}, h.revision, h.now)
	h.workerTasks[id] = map[taskAttempt]wire.TaskStatus{}
	h.sendHeartbeat(id)
	h.sendHeartbeat(id)
}

func (h *partitionHarness) addJob(job wire.Job) *Job {
	h.revision++
	return h.AddJob(&job, h.now, h.revision)
}

// commitBatches commits all changes to the key-value store.
func (h *partitionHarness) commitBatches() {
	for {
		batch := h.PrepareBatch()
		if batch.Empty() {
			return
		}
		h.revision++
		h.ConfirmBatch(batch, h.revision)
	}
}

// scheduleAndCommit runs a scheduling cycle and commits its changes.
func (h *partitionHarness) scheduleAndCommit() {
	h.Schedule(h.now)
	h.commitBatches()
}

// nextHeartbeat returns the next heartbeat of a machine's worker, which lists all its tasks.
func (h *partitionHarness) nextHeartbeat(id string) *wire.Heartbeat {
	h.heartbeatSequences[id]++
	heartbeat := &wire.Heartbeat{
		Machine:      id,
		Incarnation:  1,
		Sequence:     h.heartbeatSequences[id],
		FencingToken: h.machines.get(id).token.current,
	}
	for _, status := range h.workerTasks[id] {
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	return heartbeat
}

// sendHeartbeat delivers the next heartbeat of a machine's worker, executes the commands of the
// response and returns them. It returns nil if the heartbeat is not accepted.
func (h *partitionHarness) sendHeartbeat(id string) []wire.Command {
	verdict, response := h.HandleHeartbeat(h.nextHeartbeat(id), h.now, true)
	if verdict != HeartbeatAccepted {
		return nil
	}
	for _, command := range response.Commands {
		h.execute(id, command)
	}
	return response.Commands
}

// execute applies a command to the tasks of the machine's worker.
func (h *partitionHarness) execute(id string, command wire.Command) {
	tasks := h.workerTasks[id]
	key := taskAttempt{command.Task, command.Attempt}
	switch command.Op {
	case wire.StartTask:
		tasks[key] = wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning}
	case wire.StopTask:
		if status, ok := tasks[key]; ok {
			status.State, status.ExitCause = wire.TaskExited, wire.ExitStopped
			tasks[key] = status
		}
	case wire.ForgetTask:
		delete(tasks, key)
	}
}

// setTaskExited makes the machine's worker report a task as exited, starting with its next
// heartbeat.
func (h *partitionHarness) setTaskExited(id, task string, attempt uint64, cause wire.ExitCause) {
	h.workerTasks[id][taskAttempt{task, attempt}] = wire.TaskStatus{
		Task:      task,
		Attempt:   attempt,
		State:     wire.TaskExited,
		ExitCause: cause,
	}
}

// formatCommands formats each command as "OPERATION TASK ATTEMPT".
func formatCommands(commands []wire.Command) []string {
	var texts []string
	for _, command := range commands {
		texts = append(texts, fmt.Sprint(command.Op, " ", command.Task, " ", command.Attempt))
	}
	return texts
}

func newArrayJob(id string, tasks int, cpus float64) wire.Job {
	return wire.Job{
		ID:            id,
		Team:          "free",
		Shape:         wire.ArrayJob,
		Priority:      "standard",
		TaskCount:     tasks,
		CPUs:          cpus,
		MemoryGB:      1,
		Image:         "i",
		EstimatedRunS: 60,
	}
}
