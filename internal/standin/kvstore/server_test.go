package kvstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/internal/store/storetest"
	"github.com/pomelosill/pomelosill/internal/store/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// faultInjector implements storetest.Faults with the faults of the stand-in.
type faultInjector struct {
	*kvstore.Server
	mu  sync.Mutex
	now time.Time
}

func (i *faultInjector) clock() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.now
}

func (i *faultInjector) Advance(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.now = i.now.Add(d)
}

func (i *faultInjector) setFault(on bool, f kvstore.Fault) {
	if on {
		i.SetFaults(f)
		return
	}
	i.SetFaults()
}

func (i *faultInjector) Outage(on bool)     { i.setFault(on, kvstore.Fault{Kind: kvstore.Outage}) }
func (i *faultInjector) StaleWatch(on bool) { i.setFault(on, kvstore.Fault{Kind: kvstore.StaleWatch}) }

func (i *faultInjector) Delay(d time.Duration) {
	i.setFault(d > 0, kvstore.Fault{Kind: kvstore.Delay, DelayMS: d.Milliseconds()})
}

func (i *faultInjector) LoseAnswers(n int) {
	i.SetFaults(kvstore.Fault{Kind: kvstore.LoseAnswers, Count: n})
}

// startServer serves a new store, and returns its fault injector and its URL.
func startServer(t *testing.T) (*faultInjector, string) {
	i := &faultInjector{now: time.Unix(1_000_000, 0)}
	i.Server = kvstore.NewServer(i.clock)
	server := httptest.NewServer(i.Handler())
	t.Cleanup(func() {
		i.Close()
		server.Close()
	})
	return i, server.URL
}

// newClient returns a client that closes its connections at the end of the
// test.
func newClient(t *testing.T, url, id string) *store.HTTP {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return store.NewHTTP(url, &http.Client{Transport: transport}, store.WithClientID(id))
}

func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) (store.Store, storetest.Faults) {
		i, url := startServer(t)
		return newClient(t, url, "contract"), i
	})
}

func TestRefusedConnectionHasNoEffect(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	s := newClient(t, server.URL, "")
	_, err := s.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	must.Eq(t, result.StoreUnavailable, result.CodeOf(err))
}

func TestAnswerWithoutCodeIsLost(t *testing.T) {
	for _, body := range []string{"", "{}", `{"code":`, "<html>"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		s := newClient(t, server.URL, "")
		_, err := s.Grant(t.Context(), time.Second)
		must.Eq(t, result.StoreAnswerLost, result.CodeOf(err), must.Sprint(body))
		_, err = s.Get(t.Context(), "a")
		must.Eq(t, result.StoreUnavailable, result.CodeOf(err), must.Sprint(body))
		server.Close()
	}
}

func TestFaultAffectsOnlyNamedClientsAndCalls(t *testing.T) {
	i, url := startServer(t)
	a, b := newClient(t, url, "a"), newClient(t, url, "b")
	i.SetFaults(
		kvstore.Fault{Kind: kvstore.Outage, Clients: []string{"a"}, Calls: []wire.Kind{wire.Get}},
		kvstore.Fault{Kind: kvstore.Unavailable, Clients: []string{"b"}, Count: 1},
	)
	_, err := a.Get(t.Context(), "k")
	must.Eq(t, result.StoreUnavailable, result.CodeOf(err))
	_, err = a.Grant(t.Context(), time.Second)
	must.NoError(t, err)
	_, err = b.Get(t.Context(), "k")
	must.Eq(t, result.StoreUnavailable, result.CodeOf(err))
	_, err = b.Get(t.Context(), "k")
	must.Eq(t, result.StoreNotFound, result.CodeOf(err))
	must.Eq(t, store.Counts{Get: 1, Grant: 1}, a.Counts())
	must.Eq(t, store.Counts{Get: 3, Grant: 1}, i.Calls())
}

func TestUnknownFaultsAreRefused(t *testing.T) {
	_, url := startServer(t)
	for body, status := range map[string]int{
		`{"faults":[{"kind":"outage"}]}`: http.StatusOK,
		`{"faults":[{"kind":"typo"}]}`:   http.StatusBadRequest,
		`{"fault":[]}`:                   http.StatusBadRequest,
	} {
		resp, err := http.Post(url+"/faults", "application/json", strings.NewReader(body))
		must.NoError(t, err)
		_ = resp.Body.Close()
		must.Eq(t, status, resp.StatusCode, must.Sprint(body))
	}
	http.DefaultClient.CloseIdleConnections()
}

func TestWatchFromCompactedRevisionFails(t *testing.T) {
	m := kvstore.NewMemory(time.Now)
	first := m.Apply(wire.CompareAndSwap, wire.Request{Key: "first"})
	for i := range 5000 {
		key := strconv.Itoa(i)
		created := m.Apply(wire.CompareAndSwap, wire.Request{Key: key})
		m.Apply(wire.Delete, wire.Request{Key: key, Expect: created.Revision})
	}
	old, _ := m.Changes("", first.Revision)
	must.Eq(t, result.StoreCompacted, old.Code)
	ahead, _ := m.Changes("", 1<<40)
	must.Eq(t, result.StoreCompacted, ahead.Code)
}

func TestCancelledWatchEnds(t *testing.T) {
	_, url := startServer(t)
	s := newClient(t, url, "")
	rev, err := s.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Watch(ctx, "a", rev, time.Hour)
	must.Eq(t, result.StoreUnavailable, result.CodeOf(err))
}
