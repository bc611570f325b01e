// Package sched decides, for one cell, which jobs are let in, which waiting
// task goes next and to which endpoint. It is pure: callers hold the cell's
// lock and pass the time and the random source.
package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Key is a submission id.
type Key [16]byte

// EndpointState tells whether an endpoint may get new work.
type EndpointState int

// The states of an endpoint.
const (
	// InService endpoints get work.
	InService EndpointState = iota
	// OutOfService endpoints are out of service by an operator or with their domain.
	OutOfService
	// Leaving endpoints finish what runs.
	Leaving
	// Detached endpoints have no stream or no fence acknowledgement now.
	Detached
)

// Endpoint is what the scheduler knows of an endpoint from outside.
type Endpoint struct {
	Name          string
	FailureDomain string
	Slots         int
	State         EndpointState
}

// Team is a team's quota and rules.
type Team struct {
	Name string
	// Weight is the team's share of slots against other teams; at least 1.
	Weight int
	// MaxRunning bounds the team's running tasks; zero is no bound.
	MaxRunning int
	// MaxQueued bounds the team's waiting tasks; zero is no bound.
	MaxQueued int
	// Domains are the failure domains that the team may use; empty is all.
	Domains []string
}

// Job is what the scheduler knows of a job.
type Job struct {
	Key  Key
	Team string
	// Waiting are the indexes of tasks that have not started.
	Waiting  []int
	Deadline time.Time
	// DeclaredRunTime is the caller's guess of one task's run time; zero is none.
	DeclaredRunTime time.Duration
	// DeclaredRunTimes are the caller's guesses by task index; nil is none. The
	// tasks that are declared longest start first. Only their order counts.
	DeclaredRunTimes []time.Duration
}

// Assignment sends one task to one endpoint.
type Assignment struct {
	Key      Key
	Index    int
	Endpoint string
}

// Completion is how a started task ended.
type Completion struct {
	Code result.Code
	// RunTime is the time on the endpoint; zero when unknown.
	RunTime time.Duration
}
