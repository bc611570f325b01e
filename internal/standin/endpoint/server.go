// Package endpoint is the stand-in for an endpoint, for tests and demos: it
// sleeps in place of work, records every start, and has faults that can be
// set from outside.
package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/process"
)

// The headers of a run.
const (
	SubmissionHeader = "Pomelosill-Submission"
	TaskHeader       = "Pomelosill-Task"
	TeamHeader       = "Pomelosill-Team"
	IdempotentHeader = "Pomelosill-Idempotent"
)

// maxPayloadBytes bounds the payload of a task.
const maxPayloadBytes = 16 << 20

// Payload is what the stand-in reads of a task's payload.
type Payload struct {
	// RunMS is how long the run takes in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the run answer status 500.
	Fail bool `json:"fail"`
	// Echo comes back in the answer.
	Echo string `json:"echo"`
}

// Answer is the body of an answer to a run.
type Answer struct {
	Endpoint   string `json:"endpoint"`
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Echo       string `json:"echo,omitempty"`
}

// Start is the record of one start.
type Start struct {
	Submission string    `json:"submission"`
	Task       int       `json:"task"`
	Team       string    `json:"team"`
	Idempotent bool      `json:"idempotent"`
	Started    time.Time `json:"started"`
	// Ended is zero while the task runs.
	Ended time.Time `json:"ended"`
}

// Starts is the body of GET /starts.
type Starts struct {
	Endpoint string `json:"endpoint"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
	// Open counts the requests that have no answer yet, frozen ones included.
	Open   int     `json:"open"`
	Starts []Start `json:"starts"`
	// AboveSlots counts the starts that found every slot taken.
	AboveSlots int `json:"above_slots"`
}

// Server is one endpoint.
type Server struct {
	name  string
	slots int
	ctx   context.Context
	close context.CancelFunc

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	starts        []Start
	running       int
	openRequests  int
	aboveSlots    int
	startLog      io.Writer
}

// NewServer returns an endpoint with that many slots. Each start is written
// to journal as one line of JSON before the run begins, so that the record
// outlives the process.
func NewServer(name string, slots int, journal io.Writer) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{name: name, slots: slots, ctx: ctx, close: cancel, faultsChanged: make(chan struct{}), startLog: journal}
}

// Close cuts whatever waits on a freeze, so that the process can end.
func (s *Server) Close() { s.close() }

// Handler serves POST /run, GET /starts, and GET and POST /faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", s.run)
	mux.HandleFunc("GET /starts", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, s.Starts())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, s.currentFaults())
	})
	mux.HandleFunc("POST /faults", s.postFaults)
	return mux
}

// Starts returns the records so far, oldest first.
func (s *Server) Starts() Starts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Starts{
		Endpoint:   s.name,
		Slots:      s.slots,
		Running:    s.running,
		Open:       s.openRequests,
		Starts:     slices.Clone(s.starts),
		AboveSlots: s.aboveSlots,
	}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	process.WriteJSON(w, http.StatusOK, f)
}

// run executes one task.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	if s.currentFaults().Refuse {
		abort()
	}
	s.addOpenRequests(1)
	defer s.addOpenRequests(-1)
	task, err := strconv.Atoi(r.Header.Get(TaskHeader))
	if err != nil {
		http.Error(w, "bad task index", http.StatusBadRequest)
		return
	}
	payload, err := readPayload(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.consumeCut(func(f *Faults) *int { return &f.CutBefore }) {
		abort()
	}
	s.waitUnfrozen()
	failed := s.runTask(r.Header, task, payload)
	s.waitUnfrozen()
	if s.consumeCut(func(f *Faults) *int { return &f.CutAfter }) {
		abort()
	}
	if failed {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	process.WriteJSON(w, http.StatusOK, Answer{
		Endpoint:   s.name,
		Submission: r.Header.Get(SubmissionHeader),
		Task:       task,
		Echo:       payload.Echo,
	})
}

// readPayload reads what it knows of the payload; one that is no object of
// that form runs for no time.
func readPayload(w http.ResponseWriter, r *http.Request) (Payload, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		return Payload{}, err
	}
	var p Payload
	if err := json.Unmarshal(text, &p); err != nil {
		return Payload{}, nil //nolint:nilerr // any JSON value is a payload
	}
	return p, nil
}

// runTask records the start, sleeps, records the end, and tells whether the run
// failed. It goes on when the caller's connection ends.
func (s *Server) runTask(h http.Header, task int, p Payload) bool {
	index, f := s.recordStart(Start{
		Submission: h.Get(SubmissionHeader),
		Task:       task,
		Team:       h.Get(TeamHeader),
		Idempotent: h.Get(IdempotentHeader) == "true",
		Started:    time.Now(),
	})
	defer s.recordEnd(index)
	if f.FailAll {
		return true
	}
	run := time.Duration(p.RunMS) * time.Millisecond
	if f.SlowFactor > 0 {
		run = time.Duration(float64(run) * f.SlowFactor)
	}
	if s.consumeCut(func(f *Faults) *int { return &f.CutDuring }) {
		time.Sleep(run / 2)
		abort()
	}
	time.Sleep(run)
	return p.Fail
}

func (s *Server) recordStart(start Start) (int, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		s.aboveSlots++
	}
	s.running++
	s.starts = append(s.starts, start)
	if err := json.NewEncoder(s.startLog).Encode(start); err != nil {
		panic(err)
	}
	return len(s.starts) - 1, s.faults
}

func (s *Server) recordEnd(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.starts[index].Ended = time.Now()
}

func (s *Server) addOpenRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openRequests += n
}

// consumeCut uses up one of the cuts that count points at.
func (s *Server) consumeCut(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return consume(count(&s.faults))
}

// waitUnfrozen returns when the endpoint is not frozen.
func (s *Server) waitUnfrozen() {
	for {
		s.mu.Lock()
		frozen, changed := s.faults.Freeze, s.faultsChanged
		s.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			abort()
		}
	}
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }
