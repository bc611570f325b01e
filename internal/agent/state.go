package agent

import (
	"github.com/pomelosill/pomelosill/internal/gate"
)

// State is the agent's state dump, served at /debug/state.
type State struct {
	Endpoint      string         `json:"endpoint"`
	Incarnation   string         `json:"incarnation"`
	Version       string         `json:"version"`
	FailureDomain string         `json:"domain"`
	Slots         int            `json:"slots"`
	Gate          gate.State     `json:"gate"`
	Location      LocationState  `json:"location"`
	Streams       []StreamState  `json:"streams"`
	Running       []RunningState `json:"running"`
	// OutcomesConfirmed is true if every outcome has reached an owner.
	OutcomesConfirmed bool `json:"settled"`
	// Messages counts messages by kind.
	Messages map[string]int64 `json:"messages"`
}

// LocationState is what the agent knows about the owner of its cell and the
// entries.
type LocationState struct {
	ControlRevision uint64   `json:"control_revision"`
	Owner           string   `json:"owner"`
	Deputy          string   `json:"deputy"`
	Entries         []string `json:"entries"`
}

// StreamState is the state of one open stream.
type StreamState struct {
	Address string `json:"address"`
	// Owner is true if outcomes are sent on this stream.
	Owner bool `json:"owner"`
	// SinceReceivedMS is the time since the last received frame in
	// milliseconds.
	SinceReceivedMS int64 `json:"silence_ms"`
	// Queued is the number of outcomes waiting to be sent.
	Queued int `json:"queued"`
}

// RunningState is the state of one running task.
type RunningState struct {
	Submission string `json:"submission"`
	Index      uint32 `json:"index"`
	Team       string `json:"team"`
	RunMS      int64  `json:"run_ms"`
}

// State returns the agent's state.
func (a *Agent) State() State {
	loc := a.links.currentLocation()
	return State{
		Endpoint:      a.settings.Endpoint,
		Incarnation:   a.incarnation,
		Version:       a.version,
		FailureDomain: a.settings.FailureDomain,
		Slots:         a.settings.Slots,
		Gate:          a.gate.State(a.now()),
		Location: LocationState{
			ControlRevision: loc.GetControlRevision(),
			Owner:           loc.GetOwner(),
			Deputy:          loc.GetDeputy(),
			Entries:         loc.GetEntries(),
		},
		Streams:           a.streamStates(),
		Running:           a.runner.runningStates(),
		OutcomesConfirmed: a.delivery.allConfirmed(),
		Messages:          a.counters.byName(),
	}
}

func (a *Agent) streamStates() []StreamState {
	owner := a.delivery.ownerStream()
	states := []StreamState{}
	for _, st := range a.streams.list() {
		states = append(states, StreamState{
			Address:         st.address,
			Owner:           st == owner,
			SinceReceivedMS: st.sinceReceived(a.now()).Milliseconds(),
			Queued:          st.outbox.outcomeCount(),
		})
	}
	return states
}

func (r *taskRunner) runningStates() []RunningState {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := []RunningState{}
	for t, task := range r.running {
		states = append(states, RunningState{
			Submission: t.Submission.String(),
			Index:      t.Index,
			Team:       task.team,
			RunMS:      (r.now() - task.startedAt).Milliseconds(),
		})
	}
	return states
}
