package agent

import (
	"github.com/pomelosill/pomelosill/internal/gate"
)

// State is the agent's state for the dump.
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
	// Settled tells that every outcome has reached an owner.
	Settled bool `json:"settled"`
	// Messages counts messages by kind.
	Messages map[string]int64 `json:"messages"`
}

// LocationState is what the agent knows of the entries.
type LocationState struct {
	ControlRevision uint64   `json:"control_revision"`
	Owner           string   `json:"owner"`
	Deputy          string   `json:"deputy"`
	Entries         []string `json:"entries"`
}

// StreamState is one open stream.
type StreamState struct {
	Address string `json:"address"`
	// Owner tells that outcomes go to this stream.
	Owner bool `json:"owner"`
	// SilenceMS is the time since the last frame in milliseconds.
	SilenceMS int64 `json:"silence_ms"`
	// Queued is the number of outcomes that wait to be sent.
	Queued int `json:"queued"`
}

// RunningState is one running task.
type RunningState struct {
	Submission string `json:"submission"`
	Index      uint32 `json:"index"`
	Team       string `json:"team"`
	RunMS      int64  `json:"run_ms"`
}

// State returns the agent's state.
func (a *Agent) State() State {
	loc := a.links.current()
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
		Streams:  a.streamStates(),
		Running:  a.runner.state(),
		Settled:  a.delivery.settled(),
		Messages: a.counters.all(),
	}
}

func (a *Agent) streamStates() []StreamState {
	owner := a.delivery.current()
	out := []StreamState{}
	for _, st := range a.streams.list() {
		out = append(out, StreamState{
			Address:   st.address,
			Owner:     st == owner,
			SilenceMS: st.silence(a.now()).Milliseconds(),
			Queued:    st.out.queued(),
		})
	}
	return out
}

func (r *runner) state() []RunningState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []RunningState{}
	for t, task := range r.running {
		out = append(out, RunningState{
			Submission: t.Submission.String(),
			Index:      t.Index,
			Team:       task.team,
			RunMS:      (r.now() - task.since).Milliseconds(),
		})
	}
	return out
}
