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
	// WaitTimeout bounds every wait for a condition.
	WaitTimeout = 40 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// maxConcurrentFleets is how many fleets run at the same time.
	maxConcurrentFleets = 3
)

// fleetTokens holds a token for each fleet that runs.
var fleetTokens = make(chan struct{}, maxConcurrentFleets)

// Config is the size of a fleet.
type Config struct {
	Entries int
	// Domains are the failure domains; each gets EndpointsPerDomain.
	Domains            []string
	EndpointsPerDomain int
	// Slots is the number of slots of each endpoint.
	Slots int
	// Cells is the number of cells.
	Cells int
}

// SmallConfig is enough for most tests: a majority of entries outlives one of them,
// and a failure domain can go.
func SmallConfig() Config {
	return Config{Entries: 3, Domains: []string{"comas", "carabayllo"}, EndpointsPerDomain: 2, Slots: 4, Cells: 1}
}

// Team is the team that every fleet knows.
const Team = "alerts"

// Fleet is a running system.
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

// KVStore is the stand-in of the platform's store.
type KVStore struct {
	*Process
	URL string
}

// Entry is one entry.
type Entry struct {
	*Process
	// CallerAddress, Peer and Admin are its addresses as IP:port.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	Domain        string
}

// Endpoint is one stand-in endpoint with the agent beside it.
type Endpoint struct {
	*Process
	Agent             *Process
	URL               string
	AgentDebugAddress string
	Domain            string
	startLog          string
}

// New prepares the processes of a fleet and starts none. When the test ends,
// the fleet's history is checked and every process is killed.
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

// Start starts a whole fleet and waits until it serves.
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

// LogDirVariable names the environment variable with a directory that keeps
// settings and logs after the test.
const LogDirVariable = "POMELOSILL_FLEET_LOGS"

func logDir(t *testing.T) string {
	t.Helper()
	keep := os.Getenv(LogDirVariable)
	if keep == "" {
		return t.TempDir()
	}
	dir := filepath.Join(keep, t.Name())
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

// StartKVStore starts the store and waits until it answers.
func (f *Fleet) StartKVStore(t *testing.T) {
	t.Helper()
	f.KVStore.Start(t)
	awaitListener(t, f.KVStore.URL[len("http://"):])
}

// StartEndpoint starts an endpoint, not its agent, and waits until it answers.
func (f *Fleet) StartEndpoint(t *testing.T, e *Endpoint) {
	t.Helper()
	e.Start(t)
	awaitListener(t, e.URL[len("http://"):])
}

// AwaitReady waits until every entry is on the roster and knows that the others
// are, sees every endpoint, and answers a job.
func (f *Fleet) AwaitReady(t *testing.T) {
	t.Helper()
	for _, e := range f.Entries {
		Eventually(t, e.Name+" knows the whole roster", func(ctx context.Context) error {
			return f.checkRoster(ctx, e)
		})
		Eventually(t, e.Name+" sees every endpoint", func(ctx context.Context) error {
			return f.checkEndpoints(ctx, e)
		})
		Eventually(t, e.Name+" gets a job done", func(ctx context.Context) error {
			return f.Probe(ctx, e)
		})
	}
}

// entryState is what the fleet reads of an entry's state dump.
type entryState struct {
	Document *control.Document `json:"document"`
	// Acks are the revisions that members are known to hold.
	Acks map[string]uint64 `json:"acks"`
	// Counters count messages and failed checks by kind.
	Counters map[string]int64 `json:"counters"`
}

// checkInvariants fails the test if an entry that still answers counted a
// failed check of its own.
func (f *Fleet) checkInvariants(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), WaitTimeout)
	defer cancel()
	for _, e := range f.Entries {
		var s entryState
		if !e.Running() || f.get(ctx, "http://"+e.AdminAddress+"/debug/state", &s) != nil {
			continue
		}
		if n := s.Counters["invariant_failures"]; n > 0 {
			t.Errorf("%s counted %d failed invariants", e.Name, n)
		}
	}
}

// checkRoster checks that an entry knows a roster of the whole fleet and
// that each member holds that revision.
func (f *Fleet) checkRoster(ctx context.Context, e *Entry) error {
	var s entryState
	if err := f.get(ctx, "http://"+e.AdminAddress+"/debug/state", &s); err != nil {
		return err
	}
	if s.Document == nil || len(s.Document.Roster) != len(f.Entries) {
		return fmt.Errorf("roster is %+v", s.Document)
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
		return fmt.Errorf("%d of %d endpoints: %v %s", len(reply.Rows), len(f.Endpoints), reply.Rows, reply.Text)
	}
	return nil
}

// Eventually waits until check returns nil.
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
			t.Fatalf("%s: not within %v: %v", what, WaitTimeout, err)
		case <-time.After(pollInterval):
		}
	}
}

// finish thaws everything, waits until the endpoints are quiet, checks the
// history, and kills every process.
func (f *Fleet) finish(t *testing.T) {
	defer f.killAll(t)
	for _, p := range f.processes() {
		p.Resume()
	}
	f.callers.Wait()
	f.awaitIdleEndpoints(t)
	f.checkInvariants(t)
	for _, broken := range f.Violations(t) {
		t.Error(broken)
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

// AwaitOwner returns the running entry that owns cell 0 by the document in the
// store.
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
			return fmt.Errorf("owner %q", d.Cells[0].Owner)
		}
		return nil
	})
	return owner
}

// OtherEntries returns the entries besides e.
func (f *Fleet) OtherEntries(e *Entry) []*Entry {
	var out []*Entry
	for _, o := range f.Entries {
		if o != e {
			out = append(out, o)
		}
	}
	return out
}
