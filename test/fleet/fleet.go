package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/test/oracle"
)

const (
	// WaitTimeout is the longest wait for a condition.
	WaitTimeout = 40 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// maxConcurrentFleets is the number of fleets that may run at the same time.
	maxConcurrentFleets = 3
)

// fleetTokens is a semaphore with one token for each running fleet.
var fleetTokens = make(chan struct{}, maxConcurrentFleets)

// Config is the size of a fleet.
type Config struct {
	Entries int
	// Domains are the failure domains, each with EndpointsPerDomain endpoints.
	Domains            []string
	EndpointsPerDomain int
	// Slots is the number of slots of each endpoint.
	Slots int
	Cells int
}

// SmallConfig returns a size that is enough for most tests: the entries keep a
// majority when one of them fails, and a failure domain can be taken out.
func SmallConfig() Config {
	return Config{Entries: 3, Domains: []string{"comas", "carabayllo"}, EndpointsPerDomain: 2, Slots: 4, Cells: 1}
}

// Team is the name of the team that every fleet is configured with.
const Team = "alerts"

// Fleet is a set of processes under test with the history of the callers' jobs.
type Fleet struct {
	KVStore   *KVStore
	Entries   []*Entry
	Endpoints []*Endpoint

	dir         string
	client      *http.Client
	storeClient *store.HTTP

	mu       sync.Mutex
	attempts []oracle.Attempt
	callers  sync.WaitGroup
}

// KVStore is the stand-in for the platform's key-value store.
type KVStore struct {
	*Process
	URL string
}

// Entry is the process of one entry.
type Entry struct {
	*Process
	// The addresses are written as IP:port.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	Domain        string
}

// Endpoint is one stand-in endpoint with its agent.
type Endpoint struct {
	*Process
	Agent             *Process
	URL               string
	AgentDebugAddress string
	Domain            string
	startLog          string
}

// New prepares the processes of a fleet without starting them. At the end of the
// test, the oracle checks the fleet's history and every process is killed.
func New(t *testing.T, c Config) *Fleet {
	t.Helper()
	fleetTokens <- struct{}{}
	t.Cleanup(func() { <-fleetTokens })
	f := &Fleet{dir: logDir(t), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	t.Cleanup(f.client.CloseIdleConnections)
	f.addKVStore(t)
	for i := range c.Entries {
		f.addEntry(t, i, c.Domains[i%len(c.Domains)], c.Cells)
	}
	for _, domain := range c.Domains {
		for i := range c.EndpointsPerDomain {
			f.addEndpoint(t, fmt.Sprintf("%s-%d", domain, i+1), domain, c.Slots)
		}
	}
	t.Cleanup(func() { f.finish(t) })
	return f
}

// Start starts a fleet and waits until it is ready.
func Start(t *testing.T, c Config) *Fleet {
	t.Helper()
	f := New(t, c)
	f.StartKVStore(t)
	for _, e := range f.Entries {
		e.Start(t)
	}
	for _, e := range f.Endpoints {
		f.StartEndpoint(t, e)
		e.Agent.Start(t)
	}
	f.AwaitReady(t)
	return f
}

// LogDirVariable is the environment variable that names a directory in which
// settings and logs are kept after the test.
const LogDirVariable = "POMELOSILL_FLEET_LOGS"

func logDir(t *testing.T) string {
	t.Helper()
	logDirRoot := os.Getenv(LogDirVariable)
	if logDirRoot == "" {
		return t.TempDir()
	}
	dir := filepath.Join(logDirRoot, t.Name())
	must.NoError(t, os.RemoveAll(dir))
	must.NoError(t, os.MkdirAll(dir, 0o755))
	return dir
}

func (f *Fleet) addKVStore(t *testing.T) {
	addr := FreeAddress(t)
	f.KVStore = &KVStore{
		Process: NewProcess(f.dir, "platform", "pomelosill-standin", "platform", "--listen", addr),
		URL:     "http://" + addr,
	}
	f.storeClient = store.NewHTTP(f.KVStore.URL, f.client, store.WithClientID("test"))
}

func (f *Fleet) addEntry(t *testing.T, i int, domain string, cells int) {
	name := fmt.Sprintf("entry-%d", i+1)
	e := &Entry{CallerAddress: FreeAddress(t), PeerAddress: FreeAddress(t), AdminAddress: FreeAddress(t), Domain: domain}
	path := writeSettings(t, f.dir, name, entrySettings{
		Listen:        e.CallerAddress,
		Peer:          e.PeerAddress,
		Admin:         e.AdminAddress,
		FailureDomain: domain,
		Store:         f.KVStore.URL,
		Cells:         cells,
		DefaultTeams:  []teamSettings{{Name: Team, Weight: 1}},
		DrainTimeout:  "30s",
		LogLevel:      "debug",
	})
	e.Process = NewProcess(f.dir, name, "pomelosill-entry", "--settings", path)
	f.Entries = append(f.Entries, e)
}

func (f *Fleet) addEndpoint(t *testing.T, name, domain string, slots int) {
	addr := FreeAddress(t)
	e := &Endpoint{URL: "http://" + addr, AgentDebugAddress: FreeAddress(t), Domain: domain, startLog: filepath.Join(f.dir, name+".starts")}
	e.Process = NewProcess(f.dir, name, "pomelosill-standin",
		"endpoint", "--listen", addr, "--slots", fmt.Sprint(slots), "--name", name, "--journal", e.startLog)
	path := writeSettings(t, f.dir, name+"-agent", agentSettings{
		Endpoint:      name,
		FailureDomain: domain,
		Slots:         slots,
		EndpointURL:   e.URL,
		Listen:        e.AgentDebugAddress,
		Entries:       f.peerAddresses(),
		LogLevel:      "debug",
	})
	e.Agent = NewProcess(f.dir, name+"-agent", "pomelosill-agent", "--settings", path)
	f.Endpoints = append(f.Endpoints, e)
}

func (f *Fleet) peerAddresses() []string {
	var out []string
	for _, e := range f.Entries {
		out = append(out, e.PeerAddress)
	}
	return out
}

// StartKVStore starts the store and waits until it listens.
func (f *Fleet) StartKVStore(t *testing.T) {
	t.Helper()
	f.KVStore.Start(t)
	awaitListener(t, f.KVStore.URL[len("http://"):])
}

// StartEndpoint starts an endpoint without its agent and waits until it listens.
func (f *Fleet) StartEndpoint(t *testing.T, e *Endpoint) {
	t.Helper()
	e.Start(t)
	awaitListener(t, e.URL[len("http://"):])
}

// AwaitReady waits until every entry knows that all entries hold a roster of the
// whole fleet, sees every endpoint, and can run a job.
func (f *Fleet) AwaitReady(t *testing.T) {
	t.Helper()
	for _, e := range f.Entries {
		Eventually(t, e.Name+" knows that all entries hold the roster", func(ctx context.Context) error {
			return f.checkRoster(ctx, e)
		})
		Eventually(t, e.Name+" sees every endpoint", func(ctx context.Context) error {
			return f.checkEndpoints(ctx, e)
		})
		Eventually(t, e.Name+" runs a job", func(ctx context.Context) error {
			return f.Probe(ctx, e)
		})
	}
}

// entryState holds the fields of an entry's state dump that tests read.
type entryState struct {
	Document *control.Document `json:"document"`
	// Acks maps member ids to the revisions that the members are known to hold.
	Acks map[string]uint64 `json:"acks"`
	// Counters counts messages and failed checks by kind.
	Counters map[string]int64 `json:"counters"`
}

// checkInvariants fails the test if a running entry has counted a failed check of
// its own invariants. Entries that do not respond are skipped.
func (f *Fleet) checkInvariants(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), WaitTimeout)
	defer cancel()
	for _, e := range f.Entries {
		var s entryState
		if !e.Running() || f.get(ctx, "http://"+e.AdminAddress+"/debug/state", &s) != nil {
			continue
		}
		if n := s.Counters["invariant_failures"]; n > 0 {
			t.Errorf("%s counted %d invariant failures", e.Name, n)
		}
	}
}

// checkRoster returns an error unless an entry holds a roster of the whole fleet
// and knows that every member holds that revision.
func (f *Fleet) checkRoster(ctx context.Context, e *Entry) error {
	var s entryState
	if err := f.get(ctx, "http://"+e.AdminAddress+"/debug/state", &s); err != nil {
		return err
	}
	if s.Document == nil || len(s.Document.Roster) != len(f.Entries) {
		return fmt.Errorf("roster is incomplete: %+v", s.Document)
	}
	for _, m := range s.Document.Roster {
		if s.Acks[m.ID] < s.Document.Revision {
			return fmt.Errorf("%s has not acknowledged revision %d", m.Address, s.Document.Revision)
		}
	}
	return nil
}

func (f *Fleet) checkEndpoints(ctx context.Context, e *Entry) error {
	reply, err := f.Query(ctx, e, "endpoints")
	if err != nil {
		return err
	}
	if len(reply.Rows) != len(f.Endpoints) {
		return fmt.Errorf("sees %d of %d endpoints: %v %s", len(reply.Rows), len(f.Endpoints), reply.Rows, reply.Text)
	}
	return nil
}

// Eventually waits until check returns nil. It fails the test after WaitTimeout.
func Eventually(t *testing.T, what string, check func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), WaitTimeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("condition %q not met within %v: %v", what, WaitTimeout, err)
		case <-time.After(pollInterval):
		}
	}
}

// finish resumes all processes, waits until the endpoints are idle, checks the
// history, and kills every process.
func (f *Fleet) finish(t *testing.T) {
	defer f.killAll(t)
	for _, p := range f.processes() {
		p.Resume()
	}
	f.callers.Wait()
	f.awaitIdleEndpoints(t)
	f.checkInvariants(t)
	for _, violation := range f.Violations(t) {
		t.Error(violation)
	}
}

func (f *Fleet) killAll(t *testing.T) {
	for _, p := range f.processes() {
		p.Kill()
	}
	if !t.Failed() {
		return
	}
	for _, p := range f.processes() {
		p.PrintLog(t)
	}
}

func (f *Fleet) processes() []*Process {
	all := []*Process{f.KVStore.Process}
	for _, e := range f.Entries {
		all = append(all, e.Process)
	}
	for _, e := range f.Endpoints {
		all = append(all, e.Process, e.Agent)
	}
	return all
}

func awaitListener(t *testing.T, addr string) {
	t.Helper()
	Eventually(t, addr+" listens", func(ctx context.Context) error {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// AwaitOwner waits until the entry that owns cell 0, according to the document in
// the store, is running, and returns it.
func (f *Fleet) AwaitOwner(t *testing.T) *Entry {
	t.Helper()
	var owner *Entry
	Eventually(t, "cell 0 has a running owner", func(ctx context.Context) error {
		d, err := f.Document(ctx)
		if err != nil {
			return err
		}
		owner = f.ownerOf(d)
		if owner == nil || !owner.Running() {
			return fmt.Errorf("cell 0 is owned by %q", d.Cells[0].Owner)
		}
		return nil
	})
	return owner
}

// OtherEntries returns all entries except e.
func (f *Fleet) OtherEntries(e *Entry) []*Entry {
	var out []*Entry
	for _, o := range f.Entries {
		if o != e {
			out = append(out, o)
		}
	}
	return out
}
