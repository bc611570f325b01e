package entry

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

// TestEveryMetricIsDocumented checks that docs/OPERATIONS.md explains exactly the
// metrics that an entry serves.
func TestEveryMetricIsDocumented(t *testing.T) {
	debug, err := process.NewDebug("pomelosill-entry")
	must.NoError(t, err)
	s := DefaultSettings()
	s.StoreURL = "http://127.0.0.1:1"
	e := New(s, zap.NewNop(), debug)
	e.metrics, err = newMetrics(debug.Meter, e)
	must.NoError(t, err)
	e.metrics.recordAnswer(t.Context(), result.OK, 1)

	mux := http.NewServeMux()
	debug.Mount(mux, func() any { return nil })
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	must.NoError(t, err)

	name := regexp.MustCompile(`pomelosill_entry_[a-z_]+`)
	suffix := regexp.MustCompile(`_(bucket|sum|count)$`)
	served, explained := map[string]bool{}, map[string]bool{}
	for _, n := range name.FindAllString(w.Body.String(), -1) {
		served[suffix.ReplaceAllString(n, "")] = true
	}
	for _, n := range name.FindAllString(string(page), -1) {
		explained[n] = true
	}
	for _, needsState := range []string{"pomelosill_entry_control_revision", "pomelosill_entry_roster", "pomelosill_entry_cells", "pomelosill_entry_tasks"} {
		served[needsState] = true
	}
	must.Eq(t, explained, served)
}
