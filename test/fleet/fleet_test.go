package fleet

import (
	"flag"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/endpoint"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if *busyWriters > 0 {
		writeForever(*busyWriters)
	}
	os.Exit(Main(m))
}

// startStandIns starts a store and one endpoint, without entries and agents.
func startStandIns(t *testing.T) *Fleet {
	f := New(t, Config{Domains: []string{"comas"}, EndpointsPerDomain: 1, Slots: 2})
	f.StartKVStore(t)
	f.StartEndpoint(t, f.Endpoints[0])
	return f
}

// runTask runs the first task of the job directly on the endpoint.
func runTask(t *testing.T, f *Fleet, e *Endpoint, j Job) error {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.URL+"/run", strings.NewReader(string(j.Tasks[0].Payload)))
	must.NoError(t, err)
	req.Header.Set(endpoint.SubmissionHeader, j.ID)
	req.Header.Set(endpoint.TaskHeader, "0")
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func TestFreeAddressReturnsDistinctBindableAddresses(t *testing.T) {
	a, b := FreeAddress(t), FreeAddress(t)
	must.NotEq(t, a, b)
	l, err := net.Listen("tcp", a)
	must.NoError(t, err)
	must.NoError(t, l.Close())
}

func TestStandInsExitOnSIGTERM(t *testing.T) {
	f := startStandIns(t)
	f.KVStore.Terminate()
	f.KVStore.MustExit(t, 0, WaitTimeout)
	f.Endpoints[0].Terminate()
	f.Endpoints[0].MustExit(t, 0, WaitTimeout)
}

func TestStartLogSurvivesKill(t *testing.T) {
	f := startStandIns(t)
	e := f.Endpoints[0]
	j := NewJob(1, 0)
	must.NoError(t, runTask(t, f, e, j))
	e.Kill()
	must.Len(t, 1, f.StartsOf(t, j))
	must.Len(t, 1, f.Violations(t), must.Sprint("expected the violation that no caller had submitted the started task"))
	f.attempts = nil
	must.NoError(t, os.Remove(e.startLog))
}

func TestPausedStoreAnswersAfterResume(t *testing.T) {
	f := startStandIns(t)
	f.KVStore.Pause(t)
	answered := make(chan error, 1)
	go func() {
		_, err := f.storeClient.Get(t.Context(), "missing")
		answered <- err
	}()
	f.KVStore.Resume()
	must.Eq(t, result.StoreNotFound, result.CodeOf(<-answered))
}

func TestFaultsApplyToStandIns(t *testing.T) {
	f := startStandIns(t)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.Outage, Clients: []string{"test"}})
	_, err := f.storeClient.Get(t.Context(), "missing")
	must.Eq(t, result.StoreUnavailable, result.CodeOf(err))
	f.SetStoreFaults(t)
	must.Eq(t, store.Counts{Get: 1}, f.StoreCalls(t).Calls)
	f.SetEndpointFaults(t, f.Endpoints[0], endpoint.Faults{Refuse: true})
	must.Error(t, runTask(t, f, f.Endpoints[0], NewJob(1, 0)))
	must.SliceEmpty(t, f.Starts(t))
}

func TestRestartedEndpointListensOnSameAddress(t *testing.T) {
	f := startStandIns(t)
	e := f.Endpoints[0]
	e.Kill()
	must.False(t, e.Running())
	f.StartEndpoint(t, e)
	must.True(t, e.Running())
}
