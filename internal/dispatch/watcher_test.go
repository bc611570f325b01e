package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/platform"
)

// Docs/incidents/0024: a response that took longer than the timeout was given up while it arrived,
// and asked for again.
func TestResponseOfAWatchIsReadWhileItArrives(t *testing.T) {
	const (
		timeout = 500 * time.Millisecond
		pause   = timeout / 2
	)
	parts := []string{`{"items":[`, `{"key":"op/config",`, `"value":"eyJ2ZXJzaW9uIjoxfQ==",`, `"revision":3}`, `],`, `"at":10}`}
	for name, stallsBefore := range map[string]int{"slow": len(parts), "silent from its middle on": 3} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for i, part := range parts {
					if i == stallsBefore {
						<-r.Context().Done()
						return
					}
					_, _ = w.Write([]byte(part))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				}
			}))
			defer server.Close()
			holder := policy.NewHolder()
			w := newOperatorWatcher(platform.NewStore(network.TCP, strings.TrimPrefix(server.URL, "http://")), holder, zap.NewNop())
			w.watchTimeout, w.responseTimeout = 0, timeout
			err := w.poll(t.Context())
			must.Eq(t, stallsBefore == len(parts), err == nil, must.Sprint(err))
			must.Eq(t, err == nil, holder.Revision() == 10)
		})
	}
}
