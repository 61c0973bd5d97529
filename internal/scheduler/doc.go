// Package scheduler places the tasks of jobs on the machines of one partition and determines
// the commands that are sent to the machines' workers. It performs no I/O and never reads the
// clock: callers pass in the current time.
package scheduler
