package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// draw picks a trouble from the whole vocabulary.
func draw(rnd *rand.Rand) emulator.Trouble {
	secs := func(least, most int) time.Duration {
		return time.Duration(least*1000+rnd.IntN((most-least)*1000)) * time.Millisecond
	}
	t := emulator.Trouble{For: secs(3, 30), Count: 1 + rnd.IntN(5), Zone: []string{"a", "b"}[rnd.IntN(2)], Wait: secs(1, 12), Share: 0.1 + 0.4*rnd.Float64()}
	t.Nodes = [][]int{{emulator.Owner}, {emulator.Owner}, {emulator.Others}, {rnd.IntN(3)}, {0, 1, 2}}[rnd.IntN(5)]
	kinds := []emulator.Kind{emulator.Crash, emulator.StateRefuses, emulator.StateOut, emulator.StateSlow, emulator.WatchesStuck, emulator.ListsRefused, emulator.LateWrites, emulator.LostAnswers,
		emulator.LateReports, emulator.ReportsForNext, emulator.SlowLinks, emulator.Hang, emulator.Deaf, emulator.Mute, emulator.HeldOrders, emulator.Taken, emulator.Alone,
		emulator.PeersCut, emulator.WorkersCut, emulator.ZoneCut, emulator.CancelNow, emulator.SlowProcessor, emulator.StandsStill}
	switch t.Kind = kinds[rnd.IntN(len(kinds))]; t.Kind {
	case emulator.Crash: // back within a fraction of a second, too
		t.Wait = []time.Duration{time.Duration(20+rnd.IntN(300)) * time.Millisecond, secs(1, 5), secs(5, 20)}[rnd.IntN(3)]
	case emulator.StateSlow, emulator.SlowLinks:
		t.Wait = time.Duration(10+rnd.IntN(400)) * time.Millisecond
	case emulator.SlowProcessor:
		t.Wait = time.Duration(5+rnd.IntN(60)) * time.Millisecond
	case emulator.StateOut, emulator.StateRefuses, emulator.Alone, emulator.StandsStill:
		t.For = secs(3, 25) // users give a submission up after a minute
	case emulator.Taken, emulator.Hang, emulator.Deaf, emulator.Mute, emulator.HeldOrders:
		if rnd.IntN(2) == 0 {
			t.Zone = ""
		}
	}
	return t
}

// pairs are troubles that meet: every so often two strike within three seconds.
func pairs(rnd *rand.Rand, over time.Duration) []emulator.Trouble {
	var out []emulator.Trouble
	for at := 15 * second; at < over; at += time.Duration(10+rnd.IntN(20)) * second {
		for range 2 {
			t := draw(rnd)
			t.At = at + time.Duration(rnd.IntN(3000))*time.Millisecond
			out = append(out, t)
		}
	}
	return out
}

// Random days on which troubles from the whole vocabulary meet in pairs. SEEDS plays more.
func TestRoughMeetings(t *testing.T) {
	seeds := 5
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(uint64(seed), 6))
			script := pairs(rnd, 3*time.Minute)
			m := meeting{seed: uint64(200 + seed), looks: seed%2 == 1, script: script, jobs: func(d *day) { d.jobs(0, 36, 170*second) },
				setup: func(d *day) { d.state.WatchesEnd = seed%3 == 0 }}
			m.play(t)
			if t.Failed() {
				for _, x := range script {
					t.Logf("%+v", x)
				}
			}
		})
	}
}

// The model must see each rule broken, or the days above show nothing.
func TestModelSeesEachRule(t *testing.T) {
	sees := func(t *testing.T, d *day, rule string) {
		t.Helper()
		for _, b := range d.world.Broken() {
			if strings.Contains(b, rule) {
				return
			}
		}
		t.Errorf("%s was broken and not seen: %v", rule, d.world.Broken())
	}
	now := time.Now
	for _, c := range []struct {
		rule   string
		breaks func(d *day)
	}{
		{"went_back", func(d *day) { // queued, asked after done had arrived
			d.world.Told("req-000001", wire.JobQueued, now())
			d.world.Asked("req-000001")
			d.world.Told("req-000001", wire.JobCancelled, now())
			time.Sleep(time.Millisecond)
			d.world.Told("req-000001", wire.JobQueued, now())
		}},
		{"went_back", func(d *day) { d.world.Told("req-000001", wire.JobCancelled, now()) }}, // nobody asked
		{"not_done", func(d *day) { d.world.Told("req-000001", wire.JobDone, now()) }},
		{"invented", func(d *day) { d.world.Told("req-000009", wire.JobQueued, now()) }},
		{"forgotten", func(d *day) {
			d.world.Told("req-000001", wire.JobQueued, now())
			time.Sleep(time.Millisecond)
			d.world.Missing("req-000001", 404, now())
		}},
		{"forgotten", func(d *day) {
			d.world.Told("req-000001", wire.JobQueued, now())
			d.world.Calm()
			time.Sleep(80 * second)
			d.world.Unanswered("req-000001")
		}},
		{"accepted", func(d *day) { d.world.Accepted("req-000009", 201) }},
		{"left_waiting", func(d *day) { // a machine with room, and nobody places the job
			d.cloud.Add("small", "a", true)
			time.Sleep(30 * second)
			d.world.Told("req-000001", wire.JobQueued, now())
			d.world.Calm()
			for range 30 {
				d.world.Waiting(d.cloud.Workers())
				time.Sleep(5 * second)
			}
		}},
		{"ran_cancelled", func(d *day) { // nobody answers or stops the machine's task
			d.world.Lease = time.Hour // before there is a machine
			d.cloud.Add("small", "a", true)
			time.Sleep(21 * second)
			w := d.cloud.Workers()[0]
			w.Execute(wire.Command{Op: wire.StartTask, Task: "req-000001/0", Attempt: 1})
			time.Sleep(5 * second)
			d.world.Asked("req-000001")
			d.world.Told("req-000001", wire.JobCancelled, now())
			time.Sleep(50 * second)
			w.Execute(wire.Command{Op: wire.StopTask, Task: "req-000001/0", Attempt: 1})
		}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			fleetWithout(t, func(d *day) {
				d.world.Submitted(work(1, 1, 2, 300))
				c.breaks(d)
				sees(t, d, c.rule)
			})
		})
	}
	t.Run("an answer on its way is no older one", func(t *testing.T) {
		fleetWithout(t, func(d *day) {
			d.world.Submitted(work(1, 1, 2, 300))
			asked := now()
			d.world.Asked("req-000001")
			time.Sleep(time.Millisecond)
			d.world.Told("req-000001", wire.JobCancelled, now())
			d.world.Told("req-000001", wire.JobRunning, asked)
			if b := d.world.Broken(); len(b) != 0 {
				t.Errorf("seen as broken: %v", b)
			}
		})
	})
}

// fleetWithout is a day without controllers.
func fleetWithout(t *testing.T, f func(d *day)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(newDay(t, ctx, 1))
		cancel()
		time.Sleep(time.Minute)
	})
}
