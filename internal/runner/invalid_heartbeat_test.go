package runner_test

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// Invalid heartbeats of another process must neither end the runner nor keep it from its
// endpoint, whether they come before the endpoint's first heartbeat or after it.
func TestInvalidHeartbeatsAreRefused(t *testing.T) {
	h := newHost(t, 100*time.Millisecond, nil)
	var complete map[string]any
	must.NoError(t, json.Unmarshal(h.endpoint.Heartbeat(1, "ready"), &complete))
	soon := time.Now().Add(time.Hour).UnixMilli()
	body := func(changes map[string]any) string {
		fields := map[string]any{"address": "127.0.0.1:1", "born": soon}
		for _, values := range []map[string]any{complete, fields, changes} {
			for k, v := range values {
				fields[k] = v
			}
		}
		data, err := json.Marshal(fields)
		must.NoError(t, err)
		return string(data)
	}
	bodies := map[string]string{
		"deeply nested":           strings.TrimSuffix(body(nil), "}") + `,"x":` + strings.Repeat(`{"x":`, 100_000) + `1` + strings.Repeat(`}`, 100_001),
		"deeply nested arrays":    strings.Repeat(`[`, 400_000),
		"capacity too large":      strings.Replace(body(map[string]any{"capacity": 0}), `"capacity":0`, `"capacity":{"cpu":1e999,"mem_mb":1}`, 1),
		"sequence too large":      strings.Replace(body(map[string]any{"sequence": 77}), `"sequence":77`, `"sequence":9223372036854775808`, 1),
		"start far in the future": body(map[string]any{"born": int64(1) << 62}),
		"port out of range":       body(map[string]any{"address": "127.0.0.1:99999", "born": soon}),
		"no port":                 body(map[string]any{"address": "127.0.0.1", "born": soon}),
		"not an address":          body(map[string]any{"address": "[[%zz:5", "born": soon}),
	}
	sendInvalid := func() {
		for name, invalid := range bodies {
			must.False(t, platformtest.PutHeartbeat(t.Context(), http.DefaultClient, h.listen, "other", []byte(invalid)), must.Sprint(name))
		}
	}
	h.stopRunner()
	h.startRunnerProcess()
	must.True(t, eventually(func() bool {
		c, err := net.Dial("tcp", h.listen)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}))
	sendInvalid()
	h.sendHeartbeat("ready")
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	sendInvalid()
	d.requireEnd(run, done)
	h.requireNoViolations()
}
