// Package scheduler places jobs' tasks on the machines of one partition, and decides which
// commands the machines' workers get. It does no input or output and reads no clock; time is
// passed in.
package scheduler
