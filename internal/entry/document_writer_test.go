package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/internal/store/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testStore is a simulated store that holds a first control document.
type testStore struct {
	t      *testing.T
	server *kvstore.Server
	url    string
	client *http.Client
}

func newTestStore(t *testing.T) *testStore {
	s := &testStore{t: t, server: kvstore.NewServer(time.Now), client: &http.Client{}}
	srv := httptest.NewServer(s.server.Handler())
	s.url = srv.URL
	t.Cleanup(func() {
		s.server.SetFaults()
		s.client.CloseIdleConnections()
		srv.Close()
		s.server.Close()
	})
	d := control.NewDocument(control.Member{ID: "e1", Address: "127.0.0.1:1", FailureDomain: "Comas"}, 1, "first")
	text, err := json.Marshal(d)
	must.NoError(t, err)
	_, err = store.NewHTTP(s.url, s.client).CompareAndSwap(t.Context(), control.DocumentKey, 0, text, 0)
	must.NoError(t, err)
	return s
}

// writer returns the document writer of an entry with its own control state.
func (s *testStore) writer() *documentWriter {
	st := store.NewHTTP(s.url, s.client)
	state := newControlState("e1")
	sync := &storeSync{store: st, control: state, confirmInterval: time.Second, timeout: time.Second, log: zap.NewNop(), readNow: make(chan struct{}, 1)}
	return &documentWriter{store: st, control: state, storeSync: sync, timeout: 300 * time.Millisecond}
}

func (s *testStore) document() *control.Document {
	e, err := store.NewHTTP(s.url, s.client).Get(s.t.Context(), control.DocumentKey)
	must.NoError(s.t, err)
	d, err := control.Decode(e.Value)
	must.NoError(s.t, err)
	return d
}

func takeDomainOut(name string) changeFunc {
	edit := control.Edit{Operator: "ana", Statement: "take domain " + name + " out", KnownRevision: 1, Domain: &control.ServiceEdit{Name: name, Out: true}}
	return func(d *control.Document, op string) (*control.Document, error) {
		return control.ApplyEdit(d, edit, op, time.Now())
	}
}

func TestWriteDuringStoreFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults []kvstore.Fault
		code   result.Code
		// revision is the document's revision in the store afterwards.
		revision uint64
	}{
		"no fault":         {nil, result.OK, 2},
		"answer lost":      {[]kvstore.Fault{{Kind: kvstore.LoseAnswers, Count: 1}}, result.OK, 2},
		"two answers lost": {[]kvstore.Fault{{Kind: kvstore.LoseAnswers, Count: 2}}, result.OK, 2},
		// When connections close without a response, it is unknown whether the
		// write took effect.
		"store unavailable":    {[]kvstore.Fault{{Kind: kvstore.Unavailable}}, result.StoreAnswerLost, 1},
		"write executed late":  {[]kvstore.Fault{{Kind: kvstore.Delay, DelayMS: 500, Count: 1, Calls: []wire.Kind{wire.CompareAndSwap}}}, result.OK, 2},
		"write and reads late": {[]kvstore.Fault{{Kind: kvstore.Delay, DelayMS: 400, Count: 2}}, result.OK, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestStore(t)
			w := s.writer()
			must.NoError(t, w.storeSync.readDocument(t.Context()))
			s.server.SetFaults(c.faults...)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := w.Write(ctx, takeDomainOut("Comas"))
			must.Eq(t, c.code, result.CodeOf(err))
			s.server.SetFaults()
			d := s.document()
			must.Eq(t, c.revision, d.Revision)
			must.Len(t, int(c.revision-1), d.History)
		})
	}
}

func TestConcurrentWritesAllTakeEffect(t *testing.T) {
	s := newTestStore(t)
	names := []string{"a", "b", "c", "d", "e", "f"}
	var wg sync.WaitGroup
	for _, name := range names {
		w := s.writer()
		wg.Go(func() {
			must.NoError(t, w.storeSync.readDocument(t.Context()))
			_, err := w.Write(t.Context(), takeDomainOut(name))
			must.NoError(t, err)
		})
	}
	wg.Wait()
	d := s.document()
	must.Eq(t, uint64(1+len(names)), d.Revision)
	must.Eq(t, names, d.Config.DomainsOut)
}

func TestDocumentRevisionNeverDecreases(t *testing.T) {
	state := newControlState("e1")
	doc := func(revision uint64) *control.Document { return &control.Document{Revision: revision} }
	now := time.Now()
	state.UpdateFromStore(doc(5), 50, now)
	state.UpdateFromPeer(doc(4))
	state.UpdateFromStore(doc(4), 40, now.Add(time.Second))
	must.Eq(t, 5, state.Document().Revision)
	must.Eq(t, now, state.StoreConfirmedAt())
	state.UpdateFromPeer(doc(6))
	must.Eq(t, 6, state.Document().Revision)
	_, storeRevision := state.DocumentAndStoreRevision()
	must.Eq(t, 0, storeRevision)
	state.UpdateFromStore(doc(5), 50, now.Add(time.Second))
	must.Eq(t, 6, state.Document().Revision)
	must.Eq(t, now, state.StoreConfirmedAt())
}

// A command that finds nothing to change must check the store's current document:
// another operator may have reverted the change since this entry read it.
func TestCommandWithoutAChangeReadsTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		// returned means that another entry returned the domain to service.
		returned bool
		fault    []kvstore.Fault
		code     result.Code
		out      []string
	}{
		"already out":               {false, nil, result.OK, []string{"Comas"}},
		"returned to service since": {true, nil, result.CommandConflict, []string{}},
		"store unavailable":         {false, []kvstore.Fault{{Kind: kvstore.Unavailable}}, result.StoreUnavailable, []string{"Comas"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestStore(t)
			other := s.writer()
			_, err := other.Write(t.Context(), takeDomainOut("Comas"))
			must.NoError(t, err)
			w := s.writer()
			must.NoError(t, w.storeSync.readDocument(t.Context()))
			if c.returned {
				edit := control.Edit{Operator: "eva", Statement: "return domain Comas", KnownRevision: 2, Domain: &control.ServiceEdit{Name: "Comas"}}
				_, err = other.Write(t.Context(), func(d *control.Document, op string) (*control.Document, error) {
					return control.ApplyEdit(d, edit, op, time.Now())
				})
				must.NoError(t, err)
			}
			s.server.SetFaults(c.fault...)
			edit := control.Edit{Operator: "ana", Statement: "take domain Comas out", KnownRevision: 2, Domain: &control.ServiceEdit{Name: "Comas", Out: true}}
			next, err := w.Write(t.Context(), func(d *control.Document, op string) (*control.Document, error) {
				return control.ApplyEdit(d, edit, op, time.Now())
			})
			must.Nil(t, next)
			must.Eq(t, c.code, result.CodeOf(err))
			s.server.SetFaults()
			must.Eq(t, c.out, append([]string{}, s.document().Config.DomainsOut...))
		})
	}
}

// If the result of one attempt to write is unknown, a later attempt that certainly
// failed must not make the write report that nothing was changed.
func TestUnknownAttemptKeepsTheWriteUnknown(t *testing.T) {
	s := newTestStore(t)
	w := s.writer()
	must.NoError(t, w.storeSync.readDocument(t.Context()))
	delayed := &delayedWriteStore{Store: w.store}
	w.store = delayed
	_, err := w.Write(t.Context(), takeDomainOut("Comas"))
	must.Eq(t, result.StoreAnswerLost, result.CodeOf(err))
	must.NoError(t, delayed.applyDelayed(t.Context()))
	must.Eq(t, []string{"Comas"}, s.document().Config.DomainsOut)
}

// A change that was written, but whose answer was lost and which another write
// followed, must not be reported as refused because it can't be made again.
func TestRefusedRepetitionKeepsTheWriteUnknown(t *testing.T) {
	s := newTestStore(t)
	_, err := s.writer().Write(t.Context(), func(d *control.Document, op string) (*control.Document, error) {
		return control.AddMember(d, control.Member{ID: "e2", Address: "127.0.0.1:2"}, op, func(string) bool { return true })
	})
	must.NoError(t, err)
	w := s.writer()
	must.NoError(t, w.storeSync.readDocument(t.Context()))
	w.store = &overtakenWriteStore{Store: w.store, next: func() {
		_, err := s.writer().Write(t.Context(), takeDomainOut("Comas"))
		must.NoError(t, err)
	}}
	e := &Entry{control: w.control}
	_, err = w.Write(t.Context(), func(d *control.Document, op string) (*control.Document, error) {
		return e.removeMember(d, control.Edit{RemoveMember: "e2"}, op)
	})
	must.False(t, s.document().HasMember("e2"))
	must.Eq(t, result.StoreAnswerLost, result.CodeOf(err))
}

// overtakenWriteStore loses the answer to the first write, which next follows.
type overtakenWriteStore struct {
	store.Store
	next func()
}

func (s *overtakenWriteStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (uint64, error) {
	revision, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if err != nil || s.next == nil {
		return revision, err
	}
	next := s.next
	s.next = nil
	next()
	return 0, result.Errorf(result.StoreAnswerLost, "")
}

// delayedWriteStore reports the answer to the first write as lost and keeps the
// write in applyDelayed. For later writes it is unavailable.
type delayedWriteStore struct {
	store.Store
	applyDelayed func(context.Context) error
}

func (s *delayedWriteStore) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (uint64, error) {
	if s.applyDelayed != nil {
		return 0, result.Errorf(result.StoreUnavailable, "")
	}
	s.applyDelayed = func(ctx context.Context) error {
		_, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
		return err
	}
	return 0, result.Errorf(result.StoreAnswerLost, "")
}
