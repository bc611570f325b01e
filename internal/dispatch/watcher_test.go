package dispatch

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/store"
)

// slowStore responds to a watch in parts of one byte, with a pause before each.
type slowStore struct {
	store.Store
	parts int
	pause time.Duration
	// silentFrom is the part from which on nothing arrives.
	silentFrom int
}

func (s *slowStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Changes, error) {
	response := store.ProgressReader(ctx, iotest.OneByteReader(strings.NewReader(strings.Repeat("x", s.parts))))
	for i := range s.parts {
		pause := time.After(s.pause)
		if i >= s.silentFrom {
			pause = nil
		}
		select {
		case <-pause:
		case <-ctx.Done():
			return store.Changes{}, context.Cause(ctx)
		}
		if _, err := io.ReadFull(response, make([]byte, 1)); err != nil {
			return store.Changes{}, err
		}
	}
	return store.Changes{Entries: []store.Entry{configEntry(3, `{"version":1}`)}, Revision: 10}, nil
}

// Docs/incidents/0024: a response that took longer than the timeout was given up while it arrived,
// and asked for again.
func TestResponseOfAWatchIsReadWhileItArrives(t *testing.T) {
	const (
		timeout = 500 * time.Millisecond
		parts   = 6
	)
	for name, silentFrom := range map[string]int{"slow": parts, "silent from its middle on": 3} {
		t.Run(name, func(t *testing.T) {
			holder := policy.NewHolder()
			w := newOperatorWatcher(&slowStore{parts: parts, pause: timeout / 2, silentFrom: silentFrom}, holder, zap.NewNop())
			w.watchTimeout, w.responseTimeout = 0, timeout
			err := w.poll(t.Context())
			must.Eq(t, silentFrom == parts, err == nil, must.Sprint(err))
			must.Eq(t, err == nil, holder.Revision() == 10)
		})
	}
}
