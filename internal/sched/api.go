// Package sched is the scheduler of one cell: it decides which jobs are
// admitted, which waiting task starts next, and on which endpoint. It does no
// I/O and reads no clock: callers hold the cell's lock and pass the time and
// the random source.
package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Key identifies a job by its submission ID.
type Key [16]byte

// EndpointState says whether an endpoint may be given new tasks.
type EndpointState int

// The states of an endpoint.
const (
	// InService endpoints are given tasks.
	InService EndpointState = iota
	// OutOfService endpoints were taken out of service by an operator, alone
	// or with their failure domain.
	OutOfService
	// Leaving endpoints finish their running tasks and are given no new ones.
	Leaving
	// Detached endpoints have no stream, or have not acknowledged the fence
	// yet.
	Detached
)

// Endpoint describes an endpoint as its agent and the operators set it.
type Endpoint struct {
	Name          string
	FailureDomain string
	Slots         int
	State         EndpointState
}

// Team holds a team's quota and placement rules.
type Team struct {
	Name string
	// Weight is the team's share of the slots relative to other teams; at
	// least 1.
	Weight int
	// MaxRunning limits the team's running tasks; zero means no limit.
	MaxRunning int
	// MaxQueued limits the team's waiting tasks; zero means no limit.
	MaxQueued int
	// Domains lists the failure domains that the team may use; empty means
	// all.
	Domains []string
}

// Job describes a job to be queued.
type Job struct {
	Key  Key
	Team string
	// Waiting lists the indexes of the tasks that have not started.
	Waiting  []int
	Deadline time.Time
	// DeclaredRunTime is the caller's estimate of one task's run time; zero if
	// there is none.
	DeclaredRunTime time.Duration
	// DeclaredRunTimes are the caller's estimates by task index; nil if there
	// are none. The tasks with the longest estimates start first; only the
	// order of the values matters.
	DeclaredRunTimes []time.Duration
}

// Assignment assigns one task to one endpoint.
type Assignment struct {
	Key      Key
	Index    int
	Endpoint string
}

// Completion is the result of a started task.
type Completion struct {
	Code result.Code
	// RunTime is the time that the task spent on the endpoint; zero if
	// unknown.
	RunTime time.Duration
}
