// Package endpoint is the stand-in for an endpoint, for tests and demos: it
// sleeps instead of working, records every start, and has faults that can be
// set over HTTP.
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

// maxPayloadBytes bounds the size of a task's payload.
const maxPayloadBytes = 16 << 20

// Payload holds the fields that the stand-in reads from a task's payload.
type Payload struct {
	// RunMS is how long the run takes in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the run fail with status 500.
	Fail bool `json:"fail"`
	// Echo is returned in the answer.
	Echo string `json:"echo"`
}

// Answer is the body of the answer to a run.
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
	// Open is the number of requests without an answer, including frozen ones.
	Open   int     `json:"open"`
	Starts []Start `json:"starts"`
	// AboveSlots is the number of starts at which no slot was free.
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

// NewServer returns an endpoint with the given number of slots. It writes each
// start to startLog as one line of JSON before the run begins, so that the
// record survives a crash.
func NewServer(name string, slots int, startLog io.Writer) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{name: name, slots: slots, ctx: ctx, close: cancel, faultsChanged: make(chan struct{}), startLog: startLog}
}

// Close closes the connections of frozen requests, so that the process can
// exit.
func (s *Server) Close() { s.close() }

// Handler returns the handler of POST /run, GET /starts, and GET and POST
// /faults.
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

// Starts returns the recorded starts, oldest first.
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

// SetFaults replaces the active faults.
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
		http.Error(w, "malformed task index", http.StatusBadRequest)
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

// readPayload reads the payload. One that can't be decoded as a Payload is
// accepted, and its run takes no time.
func readPayload(w http.ResponseWriter, r *http.Request) (Payload, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		return Payload{}, err
	}
	var p Payload
	if err := json.Unmarshal(data, &p); err != nil {
		return Payload{}, nil //nolint:nilerr // any JSON value is a payload
	}
	return p, nil
}

// runTask records the start, sleeps, records the end, and reports whether the
// run failed. It continues if the caller disconnects.
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
	duration := time.Duration(p.RunMS) * time.Millisecond
	if f.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * f.SlowFactor)
	}
	if s.consumeCut(func(f *Faults) *int { return &f.CutDuring }) {
		time.Sleep(duration / 2)
		abort()
	}
	time.Sleep(duration)
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

// consumeCut reports whether the run's connection is to be closed, by the
// counter that count selects.
func (s *Server) consumeCut(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return consume(count(&s.faults))
}

// waitUnfrozen waits until the Freeze fault is not set.
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
