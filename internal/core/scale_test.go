package core

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/wire"
)

// BenchmarkPass is a pass over a part of 350 full machines and 60 waiting jobs, with
// a twentieth of the tasks ending each time.
func BenchmarkPass(b *testing.B) {
	d := newBed()
	for i := range 350 {
		d.machine(fmt.Sprintf("m-%06d", i), "cpu", "a", false)
	}
	next := 0
	for i := 0; b.Loop(); i++ {
		for len(d.jobs) < 60 {
			j := array(fmt.Sprintf("req-%06d", next), 220, 1)
			j.Image, j.ImageGB = fmt.Sprint("img-", next%18), 1
			d.add(j)
			next++
		}
		d.now = d.now.Add(100 * time.Millisecond)
		d.Schedule(d.now)
		d.commit()
		for k, id := range d.order {
			if (k+i)%20 != 0 {
				continue
			}
			d.report(id)
			for _, a := range sortedAttempts(d.machines[id].places) {
				d.end(id, a.task, a.try, wire.CauseDone)
			}
			d.report(id)
			d.report(id)
		}
		d.Urgent()
		if i%10 == 0 {
			d.Summary(d.now)
		}
	}
}
