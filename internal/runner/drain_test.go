package runner_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// foreignSequence is far above the sequence numbers of the endpoint's own heartbeats.
const foreignSequence = 1 << 40

// A heartbeat of another writer must not hide that the endpoint drains: tasks would be started
// there although the draining was acknowledged. One that lacks a field names no endpoint.
func TestHeartbeatOfAnotherWriterHidesNoDraining(t *testing.T) {
	for _, field := range []string{"version", "slots", "cold_remaining_ms", "labels", ""} {
		t.Run("without "+field, func(t *testing.T) {
			h := newHost(t, time.Hour, nil)
			d := h.connect("1")
			d.requireReady()
			var foreign map[string]any
			must.NoError(t, json.Unmarshal(h.endpoint.Heartbeat(foreignSequence, "ready"), &foreign))
			delete(foreign, field)
			body, err := json.Marshal(foreign)
			must.NoError(t, err)
			acknowledged := platformtest.PutHeartbeat(t.Context(), http.DefaultClient, h.listen, h.endpoint.ID, body)
			must.Eq(t, field == "", acknowledged)
			h.sendHeartbeat("draining")
			must.Eq(t, uint32(result.Leaving), d.requireEnd(d.sendOrder("a", 1, 0), refused).GetCode())
		})
	}
}

// A process that drains doesn't return: an older heartbeat, or one of another writer, must not
// make it get runs again.
func TestDrainingEndpointDoesNotReturn(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	h.sendHeartbeat("draining")
	h.sendHeartbeat("ready")
	must.Eq(t, uint32(result.Leaving), d.requireEnd(d.sendOrder("a", 1, 0), refused).GetCode())
}
