package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/standin/endpoint"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/test/oracle"
)

// SetStoreFaults replaces the faults of the store. Without arguments it clears
// them.
func (f *Fleet) SetStoreFaults(t *testing.T, faults ...kvstore.Fault) {
	t.Helper()
	_, err := f.post(t.Context(), f.KVStore.URL+"/faults", kvstore.Faults{Faults: faults})
	must.NoError(t, err)
}

// StoreCalls returns the numbers of calls that the store received.
func (f *Fleet) StoreCalls(t *testing.T) kvstore.Calls {
	t.Helper()
	var c kvstore.Calls
	must.NoError(t, f.get(t.Context(), f.KVStore.URL+"/calls", &c))
	return c
}

// SetEndpointFaults replaces the faults of an endpoint.
func (f *Fleet) SetEndpointFaults(t *testing.T, e *Endpoint, faults endpoint.Faults) {
	t.Helper()
	_, err := f.post(t.Context(), e.URL+"/faults", faults)
	must.NoError(t, err)
}

// Starts returns every start that the endpoints recorded, including endpoints
// that have been killed.
func (f *Fleet) Starts(t *testing.T) []oracle.Start {
	t.Helper()
	var all []oracle.Start
	for _, e := range f.Endpoints {
		all = append(all, readStartLog(t, e)...)
	}
	return all
}

// StartsOf returns the starts of one job.
func (f *Fleet) StartsOf(t *testing.T, j Job) []oracle.Start {
	t.Helper()
	return slices.DeleteFunc(f.Starts(t), func(s oracle.Start) bool { return s.Submission != j.ID })
}

// AwaitStarts waits until n tasks of a job have started.
func (f *Fleet) AwaitStarts(t *testing.T, j Job, n int) {
	t.Helper()
	Eventually(t, fmt.Sprintf("%d tasks started", n), func(context.Context) error {
		if got := len(f.StartsOf(t, j)); got < n {
			return fmt.Errorf("%d tasks started", got)
		}
		return nil
	})
}

// Violations returns the violations that the oracle finds in the history so far.
func (f *Fleet) Violations(t *testing.T) []string {
	t.Helper()
	f.mu.Lock()
	attempts := slices.Clone(f.attempts)
	f.mu.Unlock()
	return oracle.Check(f.Starts(t), attempts)
}

// awaitIdleEndpoints clears the faults of the running endpoints and waits until
// they have no open requests.
func (f *Fleet) awaitIdleEndpoints(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	for _, e := range f.Endpoints {
		if !e.Running() {
			continue
		}
		if _, err := f.post(ctx, e.URL+"/faults", endpoint.Faults{}); err != nil {
			t.Errorf("clear faults of %s: %v", e.Name, err)
			continue
		}
		f.awaitIdleEndpoint(ctx, t, e)
	}
}

func (f *Fleet) awaitIdleEndpoint(ctx context.Context, t *testing.T, e *Endpoint) {
	for {
		var s endpoint.Starts
		err := f.get(ctx, e.URL+"/starts", &s)
		if err == nil && s.Open == 0 {
			return
		}
		if ctx.Err() != nil {
			t.Errorf("%s is not idle: %d open requests, error %v", e.Name, s.Open, err)
			return
		}
		time.Sleep(pollInterval)
	}
}

// readStartLog reads the starts that an endpoint wrote to its start log.
func readStartLog(t *testing.T, e *Endpoint) []oracle.Start {
	t.Helper()
	file, err := os.Open(e.startLog)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	must.NoError(t, err)
	defer func() { _ = file.Close() }()
	var starts []oracle.Start
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var s endpoint.Start
		if json.Unmarshal(lines.Bytes(), &s) != nil {
			// The last line may be incomplete while the endpoint writes it.
			continue
		}
		starts = append(starts, oracle.Start{
			Submission: s.Submission, Task: s.Task, Endpoint: e.Name, Domain: e.Domain, StartedAt: s.Started,
		})
	}
	must.NoError(t, lines.Err())
	return starts
}
