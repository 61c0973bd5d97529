//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// waitingLimit is how long, once the troubles are over, a job may wait while a machine that fits has
// room and its team is under its limit.
const waitingLimit = 90 * time.Second

// prairieZone is the only zone of the small deployment, which is otherwise like Prairie's.
const prairieZone = "regina-east"

var bison = wire.MachineType{
	Name:             "bison",
	CPUs:             16,
	GPUs:             2,
	MemoryGB:         64,
	ImageCacheGB:     150,
	ImageFetchGBPerS: 0.8,
	HourlyPrice:      5.65,
	HourlySpotPrice:  2.05,
	BootS:            50,
	Zones:            []string{prairieZone},
}

// prairie returns a small deployment with Prairie's settings. Machines come up within two seconds,
// as the protocol allows, so that a run is short.
func prairie(machines int) deployment {
	return deployment{
		cluster: config.Cluster{
			ControllerCount: 3,
			Zones:           []string{prairieZone},
			ClockErrorMS:    25,
			Teams: []config.Team{
				{Name: "seller-trust", GPUs: 16, MaxGPUs: 40},
				{Name: "loom-vision", GPUs: 16, MaxGPUs: 64},
				{Name: "shopper-recs", GPUs: 16, MaxGPUs: 40},
			},
			WorkerTiming: config.WorkerTiming{
				HeartbeatIntervalS: 3,
				LeaseDurationS:     24,
				GangWaitTimeoutS:   35,
				GangPeerTimeoutS:   8,
				CancelDeadlineS:    49,
			},
			Store: config.Store{StoreLimits: config.StoreLimits{
				RequestsPerS: 250,
				WritesPerS:   100,
				MaxValueKiB:  16,
				MaxTxnWrites: 24,
			}},
			Cloud:            config.Cloud{RequestsPerS: 6, MaxListLagS: 8},
			ControllerLimits: config.MachineLimits{CPU: 0.06, MemoryMiB: 98, MaxSockets: 700},
		},
		types:    []wire.MachineType{bison},
		capacity: []emulator.Capacity{{MachineType: bison.Name, Zone: prairieZone, Count: machines}},
		bootTime: 2 * time.Second,
	}
}

// fraudFit returns a gang of Prairie's class fraud-fit.
func fraudFit(id string) *wire.Job {
	return &wire.Job{
		ID:                  id,
		Class:               "fraud-fit",
		Team:                "seller-trust",
		Shape:               wire.GangJob,
		Priority:            wire.PriorityStandard,
		TaskCount:           2,
		CPUs:                7,
		GPUs:                1,
		MemoryGB:            26,
		Image:               "fraud-1",
		ImageGB:             0.8,
		SingleZone:          true,
		EstimatedRunS:       10,
		CheckpointIntervalS: 30,
		CheckpointSaveS:     3,
	}
}

// room returns the machines that are up and have room for tasks of a job, with the session of their
// workers, and whether they have room for all tasks of a gang or for one of another job.
func (r *rig) room(job *wire.Job, running map[string][]*wire.Job) (names []string, all bool) {
	tasks := 0
	for _, m := range r.cloud.up() {
		cpus, gpus, memory := bison.CPUs, bison.GPUs, bison.MemoryGB
		for _, other := range running[m.ID] {
			cpus, gpus, memory = cpus-other.CPUs, gpus-other.GPUs, memory-other.MemoryGB
		}
		fit := 0
		for cpus >= job.CPUs && gpus >= job.GPUs && memory >= job.MemoryGB {
			cpus, gpus, memory = cpus-job.CPUs, gpus-job.GPUs, memory-job.MemoryGB
			fit++
		}
		if fit > 0 {
			names = append(names, fmt.Sprintf("%s (%d tasks, session %d)", m.ID, fit, m.worker.Incarnation()))
		}
		tasks += fit
	}
	return names, tasks >= job.TaskCount || (!job.IsGang() && tasks > 0)
}

// judgeWaiting watches a job once the troubles are over. The rule is broken if for waitingLimit
// without a break none of its tasks is on a machine, and there is room for it on machines that are
// up. occupied returns the other jobs' tasks on each machine.
func (r *rig) judgeWaiting(ctx context.Context, job *wire.Job, occupied func() map[string][]*wire.Job) error {
	var since, lastPoll time.Time
	for ctx.Err() == nil {
		names, enough := r.room(job, occupied())
		now := time.Now()
		if r.simulation.ReplicaCount(job.ID) > 0 {
			r.logf("machines: tasks of %s are on machines again", job.ID)
			_, _ = r.poll(ctx, job.ID)
			return nil
		}
		switch {
		case !enough:
			since = time.Time{}
		case since.IsZero():
			since = now
			r.logf("platform: no task of %s is on a machine, and there is room on %v", job.ID, names)
		case now.Sub(since) > waitingLimit:
			return fmt.Errorf("%w: %s waited for %.1f s after the troubles beside room on %v",
				errBroken, job.ID, now.Sub(since).Seconds(), names)
		}
		if now.Sub(lastPoll) >= pollInterval {
			lastPoll = now
			if answer, ok := r.poll(ctx, job.ID); ok && answer.Phase == wire.JobDone {
				return nil
			}
			r.logf("platform: room for %s on %v", job.ID, names)
		}
		transport.Pause(ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("not decided before the time was over")
}

// gangAfterFailedTask: a machine fails the tasks that it starts, for some seconds. A gang that
// failed there must run once the machine is well again; there are also further machines to rent.
func gangAfterFailedTask(ctx context.Context, r *rig, trouble bool) error {
	if err := r.run(ctx, prairie(4)); err != nil {
		return err
	}
	job := fraudFit("req-000412")
	if trouble {
		stop := make(chan struct{})
		defer close(stop)
		go r.failTasksOnFirstMachine(stop)
	}
	if err := r.submit(ctx, job); err != nil {
		return err
	}
	if err := r.awaitFirstStart(ctx, job.ID); err != nil {
		return err
	}
	if trouble {
		transport.Pause(ctx, 3*time.Second)
		for _, m := range r.cloud.up() {
			m.worker.FailTasks(false)
		}
		r.logf("machines: all are well again; the troubles are over")
	}
	if err := r.judgeWaiting(ctx, job, func() map[string][]*wire.Job { return nil }); err != nil {
		return err
	}
	return r.awaitPhase(ctx, job.ID, 30*time.Second, wire.JobDone)
}

// failTasksOnFirstMachine makes the first machine fail all tasks from the moment at which it is up.
func (r *rig) failTasksOnFirstMachine(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if up := r.cloud.up(); len(up) > 0 {
			up[0].worker.FailTasks(true)
			r.logf("machines: %s fails all tasks that it starts", up[0].ID)
			return
		}
	}
}

// awaitFirstStart waits until a task of a job has started.
func (r *rig) awaitFirstStart(ctx context.Context, id string) error {
	for began := time.Now(); time.Since(began) < 30*time.Second && ctx.Err() == nil; {
		if _, started := r.simulation.FirstStartTime(id); started {
			r.logf("machines: the first task of %s has started", id)
			return nil
		}
		transport.Pause(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("no task of %s has started after 30 s", id)
}

// jobBehindLapsedReserve: an urgent gang preempts a job of low priority, and its user cancels it
// before it starts. The preempted job must run again on the machine that it left.
func jobBehindLapsedReserve(ctx context.Context, r *rig, trouble bool) error {
	if err := r.run(ctx, prairie(1)); err != nil {
		return err
	}
	service, low, gang := recsServe("req-000101"), photoTagging("req-000102"), fraudFit("req-000103")
	for _, job := range []*wire.Job{service, low} {
		if err := r.submit(ctx, job); err != nil {
			return err
		}
	}
	for _, job := range []*wire.Job{service, low} {
		if err := r.awaitTasks(ctx, job, job.TaskCount); err != nil {
			return err
		}
	}
	transport.Pause(ctx, time.Second)
	if err := r.submit(ctx, gang); err != nil {
		return err
	}
	if trouble {
		transport.Pause(ctx, 1500*time.Millisecond)
		if err := r.cancel(ctx, gang.ID); err != nil {
			return err
		}
	}
	if err := r.awaitTasks(ctx, low, 0); err != nil {
		return err
	}
	r.logf("machines: no task of %s is on a machine any more", low.ID)
	return r.judgeWaiting(ctx, low, func() map[string][]*wire.Job {
		onMachine := map[string][]*wire.Job{}
		for _, m := range r.cloud.up() { // there is a single machine
			for _, job := range []*wire.Job{service, low, gang} {
				for range r.simulation.ReplicaCount(job.ID) {
					onMachine[m.ID] = append(onMachine[m.ID], job)
				}
			}
		}
		return onMachine
	})
}

// recsServe returns a service like those of Prairie's class recs-serve.
func recsServe(id string) *wire.Job {
	return &wire.Job{
		ID:        id,
		Class:     "recs-serve",
		Team:      "shopper-recs",
		Shape:     wire.ServiceJob,
		Priority:  wire.PriorityProduction,
		TaskCount: 2,
		CPUs:      1,
		MemoryGB:  3.2,
		Image:     "recs-1",
		ImageGB:   0.8,
	}
}

// photoTagging returns an array of Prairie's class photo-tagging.
func photoTagging(id string) *wire.Job {
	return &wire.Job{
		ID:                  id,
		Class:               "photo-tagging",
		Team:                "loom-vision",
		Shape:               wire.ArrayJob,
		Priority:            wire.PriorityIdle,
		TaskCount:           2,
		CPUs:                6,
		GPUs:                1,
		MemoryGB:            24,
		Image:               "photo-1",
		ImageGB:             0.8,
		AllowSpot:           true,
		EstimatedRunS:       60,
		CheckpointIntervalS: 10,
		CheckpointSaveS:     3,
	}
}

// awaitTasks waits until a number of a job's tasks are on machines.
func (r *rig) awaitTasks(ctx context.Context, job *wire.Job, count int) error {
	for began := time.Now(); time.Since(began) < 30*time.Second && ctx.Err() == nil; {
		if r.simulation.ReplicaCount(job.ID) == count {
			r.logf("machines: %d tasks of %s are on machines", count, job.ID)
			return nil
		}
		transport.Pause(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("%s does not have %d tasks on machines after 30 s", job.ID, count)
}
