//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// announced are the limits that Prairie's settings announce with the upgrade.
var announced = config.StoreLimits{RequestsPerS: 250, WritesPerS: 70, MaxValueKiB: 2, MaxTxnWrites: 8}

// variants is the number of further machine types in the catalog, of which the cloud has no machine.
const variants = 32

// manyTypes returns the small deployment with further machine types, which cost more than bison.
func manyTypes(machines int) deployment {
	d := prairie(machines)
	for i := range variants {
		variant := bison
		variant.Name = fmt.Sprintf("bison-16c-2g-64gb-generation-%02d", i)
		variant.HourlyPrice, variant.HourlySpotPrice = 11, 4
		d.types = append(d.types, variant)
	}
	return d
}

// longJob returns an array of one task with a long description: it names its image by path and digest
// and lists all machine types.
func longJob(id string, d deployment) *wire.Job {
	job := photoTagging(id)
	job.TaskCount = 1
	job.AllowSpot = false
	job.Image = "images.prairiecraft.example/loom-vision/listing-photos/tagging/pipelines/nightly/" +
		"photo-tagging-with-seasonal-categories@sha256:" + strings.Repeat("0123456789abcdef", 4)
	for _, machineType := range d.types {
		job.MachineTypes = append(job.MachineTypes, machineType.Name)
	}
	return job
}

// logSize records how long a job's description is as the store measures it.
func (r *rig) logSize(job *wire.Job) {
	record, err := wire.Marshal(records.JobRecord{Job: job, Phase: wire.JobDone, SubmittedAtMS: time.Now().UnixMilli()})
	if err == nil {
		size, _ := emulator.JSONSize(record)
		r.logf("user: the description of %s with its phase is %d bytes as JSON", job.ID, size)
	}
}

// productionProgram is the version in production, as review/build.sh builds it from the history.
const productionProgram = "target/review/production"

// startOld starts the controllers as they are before the upgrade, and returns the program to upgrade
// to. They run the version in production, with settings that announce the new limits. If it could not
// be built, they run the present version with settings that announce nothing.
func (r *rig) startOld(ctx context.Context, d deployment) (newProgram string, err error) {
	newProgram = r.program
	if production, err := filepath.Abs(productionProgram); err == nil && isFile(production) {
		r.program = production
		d.cluster.Store.Announced = &announced
		r.logf("platform: the controllers run the version in production; the settings announce the new limits")
	} else {
		r.logf("platform: the controllers run the present version; the settings announce nothing")
	}
	return newProgram, r.run(ctx, d)
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// upgrade ends the controllers one after the other. They come back with the new program, and with
// settings that announce the new limits.
func (r *rig) upgrade(ctx context.Context, newProgram string) error {
	r.program = newProgram
	for i := range r.settings {
		r.settings[i].Cluster.Store.Announced = &announced
		controller := r.controllers[i]
		_ = controller.Process.Kill()
		_ = controller.Wait()
		r.logf("platform: controller %s is killed, and comes back with the present version", r.settings[i].Node)
		transport.Pause(ctx, 200*time.Millisecond)
		started := len(r.controllers)
		if err := r.startController(&r.settings[i]); err != nil {
			return err
		}
		r.controllers[i] = r.controllers[started]
		r.controllers = r.controllers[:started]
		if err := r.awaitHealthy(ctx); err != nil {
			return err
		}
	}
	return nil
}

// longJobAcceptedBefore: a job with a long description is accepted; the controllers are upgraded, and
// their settings announce a smaller value size; the submission is repeated.
func longJobAcceptedBefore(ctx context.Context, r *rig, trouble bool) error {
	d := manyTypes(2)
	newProgram, err := r.startOld(ctx, d)
	if err != nil {
		return err
	}
	job := longJob("req-000501", d)
	r.logSize(job)
	if err := r.submit(ctx, job); err != nil {
		return err
	}
	if err := r.awaitTasks(ctx, job, 1); err != nil {
		return err
	}
	if trouble {
		if err := r.upgrade(ctx, newProgram); err != nil {
			return err
		}
	}
	for range 10 {
		_, status := r.send(ctx, http.MethodPost, "/work", job, submitTimeout)
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			return fmt.Errorf("%w: the repeated submission of %s, which is accepted, was answered %d", errBroken, job.ID, status)
		}
		transport.Pause(ctx, retryPause)
	}
	return nil
}
