//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/store/wire"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// storeStandin is the project's stand-in for the store, with an observer of leases.
type storeStandin struct {
	world   *world
	address string
	server  *kvstore.Server
	// ahead is by how much the clock of the leases is ahead, in nanoseconds.
	ahead atomic.Int64

	mu sync.Mutex
	// leases holds the names of processes by the lease of their record, renewedAt when the
	// lease of a process was last renewed.
	leases    map[string]string
	renewedAt map[string]time.Time
}

func newStoreStandin(w *world) *storeStandin {
	s := &storeStandin{world: w, address: fmt.Sprintf("%s.7:%d", w.subnet, portPlatform), leases: map[string]string{}, renewedAt: map[string]time.Time{}}
	s.server = kvstore.NewServer(func() time.Time { return time.Now().Add(time.Duration(s.ahead.Load())) })
	w.serve(s.address, s.observe((&platformtest.Store{Server: s.server}).Handler()))
	return s
}

// observe notes which process a lease belongs to, and when it is renewed.
func (s *storeStandin) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		switch {
		case r.URL.Path == "/kv-txn":
			var t struct {
				Puts []struct {
					Key   string      `json:"key"`
					Lease json.Number `json:"lease"`
				} `json:"puts"`
			}
			_ = json.Unmarshal(body, &t)
			for _, p := range t.Puts {
				name := p.Key[strings.LastIndex(p.Key, "/")+1:]
				s.leases[p.Lease.String()] = name
				s.renewedAt[name] = time.Now()
				s.world.note("store: %s is written with lease %s", p.Key, p.Lease)
			}
		case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
			name := s.leases[strings.TrimPrefix(r.URL.Path, "/kv-keep/")]
			s.renewedAt[name] = time.Now()
			s.world.note("store: %s renews its lease", name)
		}
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// lastRenewal returns when a process last asked to renew its lease.
func (s *storeStandin) lastRenewal(name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewedAt[name]
}

// route is the route of the clients' jobs.
const (
	hostName    = "svc.example"
	prefix      = "/jobs/"
	service     = "svc1"
	maxAttempts = 2
)

// put writes a key as the operator does.
func (s *storeStandin) put(key string, value []byte) {
	get, _ := s.server.Do(nil, "", wire.Get, wire.Request{Key: key})
	expect := uint64(0)
	if len(get.Entries) > 0 {
		expect = get.Entries[0].Revision
	}
	s.server.Do(nil, "", wire.CompareAndSwap, wire.Request{Key: key, Value: value, Expect: expect})
	s.world.note("operator: %s is written", key)
}

func (s *storeStandin) putConfig(version int) {
	s.put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","hostname":%q,"prefix":%q,"kind":"unsafe","timeout_ms":30000,`+
		`"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":%d,"stretch":1.6}],"services":[{"name":%q,"health_path":"/health",`+
		`"max_connections":64,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0,"rejects_overload":false,"spare":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, hostName, prefix, service, maxAttempts, service)))
}

// lapse ends all leases, as they do while the store is down. Later leases last as usual.
func (s *storeStandin) lapse() { s.ahead.Add(int64(time.Hour)) }

// resetAll makes the store reset all calls, or serve them again.
func (s *storeStandin) resetAll(on bool) {
	if on {
		s.server.SetFaults(kvstore.Fault{Kind: kvstore.Outage})
		return
	}
	s.server.SetFaults()
}

// records returns the names of the dispatchers whose records exist.
func (s *storeStandin) records() []string {
	resp, _ := s.server.Do(nil, "", wire.Watch, wire.Request{Prefix: "pomelosill/nodes/dispatcher/"})
	var names []string
	for _, e := range resp.Entries {
		names = append(names, e.Key[strings.LastIndex(e.Key, "/")+1:])
	}
	return names
}
