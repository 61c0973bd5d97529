// Package scheduler places jobs' tasks on the machines of one partition, and decides what the
// machines' workers are told. It does no input or output and reads no clock; time is
// passed in.
package scheduler
