package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/load/audit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEndpoint completes every task immediately, and records the starts and the
// faults that were set.
type fakeEndpoint struct {
	mu     sync.Mutex
	starts audit.Starts
	faults []endpointFaults
}

func (f *fakeEndpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, r *http.Request) {
		task, _ := strconv.Atoi(r.Header.Get("Pomelosill-Task"))
		now := time.Now()
		f.mu.Lock()
		f.starts = append(f.starts, audit.Start{
			Submission: r.Header.Get("Pomelosill-Submission"), Task: task, StartedAt: now, EndedAt: now,
		})
		f.mu.Unlock()
		var payload json.RawMessage
		_ = json.NewDecoder(r.Body).Decode(&payload)
		_, _ = w.Write(payload)
	})
	mux.HandleFunc("GET /starts", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"starts": f.starts})
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) })
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults endpointFaults
		_ = json.NewDecoder(r.Body).Decode(&faults)
		f.mu.Lock()
		f.faults = append(f.faults, faults)
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(faults)
	})
	return mux
}

func newFakeFleet(t *testing.T) (*Fleet, *fakeEndpoint) {
	fake := &fakeEndpoint{}
	server := httptest.NewServer(fake.handler())
	t.Cleanup(server.Close)
	return &Fleet{
		Endpoints: []Endpoint{{Name: "a", Domain: "Comas", URL: server.URL}},
		Slots:     8,
	}, fake
}

func TestRunnerMeasuresBaselines(t *testing.T) {
	for _, policy := range []string{PolicyFCFS, PolicyTwoChoices} {
		fleet, fake := newFakeFleet(t)
		runner := Runner{Fleet: fleet, Log: zap.NewNop()}
		line, err := runner.Run(context.Background(), Options{
			Scenario: "straggler", Policy: policy, Size: "umbral", Seed: 1, Duration: 200 * time.Millisecond,
		})
		must.NoError(t, err)
		must.Positive(t, line.Jobs)
		must.Eq(t, line.Jobs, line.OK)
		must.Zero(t, line.DoubleStarts+line.PartialAnswers+line.ForeignAnswers+line.FalseNotRun+line.NoAnswer)
		must.NotNil(t, line.QueueRatioP99)
		must.NotNil(t, line.DisturbanceRatioP99)
		must.Eq(t, []endpointFaults{{SlowFactor: stragglerFactor}, {}}, fake.faults)
	}
}

func TestRunnerRejectsUnknownScenarioAndPolicy(t *testing.T) {
	fleet, _ := newFakeFleet(t)
	runner := Runner{Fleet: fleet, Log: zap.NewNop()}
	_, err := runner.Run(context.Background(), Options{Scenario: "nope", Policy: PolicyFCFS})
	must.ErrorContains(t, err, "unknown scenario")
	_, err = runner.Run(context.Background(), Options{Scenario: "steady", Policy: "nope"})
	must.ErrorContains(t, err, "unknown policy")
}

func TestPlansHaveJobsAndRestoredCapacity(t *testing.T) {
	fleet := &Fleet{Slots: 8, Endpoints: []Endpoint{
		{Name: "a", Domain: "Comas"}, {Name: "b", Domain: "Los Olivos"}, {Name: "c", Domain: "Los Olivos"},
	}}
	for _, info := range List() {
		if info.build == nil {
			continue
		}
		t.Run(info.Name, func(t *testing.T) {
			b := &planBuilder{opts: Options{Seed: 1, Duration: time.Minute}, load: info.DefaultLoad, fleet: fleet}
			p := info.build(b)
			must.Positive(t, len(p.trace.Jobs))
			must.Eq(t, 24, p.capacities[0].Slots)
			must.Eq(t, p.capacities[0].Slots, p.capacities[len(p.capacities)-1].Slots)
			must.Less(t, p.window.End, p.window.Start)
		})
	}
}

func TestDomainPlanTakesLastDomainOutAndReturnsIt(t *testing.T) {
	fleet := &Fleet{Slots: 8, Endpoints: []Endpoint{{Domain: "Comas"}, {Domain: "Los Olivos"}}}
	p := domainPlan(&planBuilder{opts: Options{Seed: 1, Duration: time.Minute}, load: 0.7, fleet: fleet})
	must.Eq(t, `take domain "Los Olivos" out`, p.actions[0].name)
	must.Eq(t, `return domain "Los Olivos"`, p.actions[1].name)
	must.Eq(t, 8, p.capacities[1].Slots)
}
