package kvstore

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/internal/store/wire"
)

const (
	// expireInterval is the time between two checks for expired leases.
	expireInterval = 20 * time.Millisecond
	// maxRequestBytes bounds the size of a request. It leaves space for a value
	// above the limit, in base64, so that the store refuses it with a code.
	maxRequestBytes = 4 * store.MaxValueBytes
)

// Server serves a Memory over HTTP.
type Server struct {
	memory    *Memory
	faults    *faultTable
	calls     store.Counter
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// Calls is the body of GET /calls.
type Calls struct {
	Calls store.Counts `json:"calls"`
	// Seconds is how long the server has run.
	Seconds         float64 `json:"seconds"`
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// NewServer returns a server for an empty store; Close stops its goroutine.
func NewServer(now Clock) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{memory: NewMemory(now), faults: newFaultTable(), startedAt: time.Now(), ctx: ctx, cancel: cancel}
	s.wg.Go(s.expireLoop)
	return s
}

// Close ends all waiting watches and stops the server's goroutine.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
}

// Handler returns the handler of the store's calls, /faults and /calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, k := range wire.Kinds() {
		mux.HandleFunc("POST "+k.Path(), func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, k) })
	}
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, s.faults.list())
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, s.callRates())
	})
	return mux
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(faults ...Fault) { s.faults.set(Faults{Faults: faults}) }

// Calls returns the number of calls by kind.
func (s *Server) Calls() store.Counts { return s.calls.Counts() }

func (s *Server) serve(w http.ResponseWriter, r *http.Request, k wire.Kind) {
	s.calls.Add(k)
	client := r.Header.Get(wire.ClientHeader)
	var req wire.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeResponse(w, errorResponse(result.Malformed, err.Error()))
		return
	}
	resp, served := s.Do(r.Context(), client, k, req)
	if !served {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeResponse(w, resp)
}

// Do executes a call of a client with the active faults, and reports whether it
// was served: the Unavailable fault refuses it without an effect. Do panics
// with http.ErrAbortHandler if the connection is to be closed.
func (s *Server) Do(ctx context.Context, client string, k wire.Kind, req wire.Request) (resp wire.Response, served bool) {
	if _, ok := s.faults.match(Unavailable, client, k); ok {
		return wire.Response{}, false
	}
	s.abortOnOutage(client, k)
	if f, ok := s.faults.match(Delay, client, k); ok {
		s.sleep(f.delay())
	}
	resp = s.execute(ctx, client, k, req)
	if _, ok := s.faults.match(LoseAnswers, client, k); ok {
		abort()
	}
	return resp, true
}

// abortOnOutage aborts the call if an outage affects it.
func (s *Server) abortOnOutage(client string, k wire.Kind) {
	if _, ok := s.faults.match(Outage, client, k); ok {
		abort()
	}
}

func (s *Server) execute(ctx context.Context, client string, k wire.Kind, req wire.Request) wire.Response {
	if k != wire.Watch {
		return s.memory.Apply(k, req)
	}
	return s.watch(ctx, client, req)
}

// watch waits for a change, and checks the faults again whenever they are
// replaced.
func (s *Server) watch(ctx context.Context, client string, req wire.Request) wire.Response {
	wait := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer wait.Stop()
	for {
		faults := s.faults.changes()
		s.abortOnOutage(client, wire.Watch)
		resp, changed := s.memory.Changes(req.Prefix, req.After)
		_, stale := s.faults.match(StaleWatch, client, wire.Watch)
		if stale && req.After != 0 {
			resp, changed = wire.Response{Revision: req.After}, nil
		}
		if req.After == 0 || resp.Code != result.OK || len(resp.Entries)+len(resp.Deleted) > 0 {
			return resp
		}
		select {
		case <-changed:
		case <-faults:
		case <-wait.C:
			return resp
		case <-ctx.Done():
			return resp
		case <-s.ctx.Done():
			return resp
		}
	}
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(&f)
	if err == nil {
		err = f.validate()
	}
	if err != nil {
		process.WriteJSON(w, http.StatusBadRequest, errorResponse(result.Malformed, err.Error()))
		return
	}
	s.faults.set(f)
	process.WriteJSON(w, http.StatusOK, s.faults.list())
}

func (s *Server) callRates() Calls {
	c := s.calls.Counts()
	seconds := time.Since(s.startedAt).Seconds()
	return Calls{
		Calls:           c,
		Seconds:         seconds,
		WritesPerSecond: float64(c.Writes()) / seconds,
		ReadsPerSecond:  float64(c.Reads()) / seconds,
	}
}

func (s *Server) expireLoop() {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.memory.Expire()
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

func writeResponse(w http.ResponseWriter, resp wire.Response) {
	process.WriteJSON(w, http.StatusOK, resp)
}
