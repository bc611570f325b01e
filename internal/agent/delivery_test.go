package agent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// TestOutcomeIsConfirmedOnlyByALaterHeartbeat guards against treating an
// outcome as delivered before the entry has answered a heartbeat that was sent
// after it.
func TestOutcomeIsConfirmedOnlyByALaterHeartbeat(t *testing.T) {
	cases := []struct {
		name string
		act  func(d *delivery, st *stream)
		want bool
	}{
		{"nothing answered", func(*delivery, *stream) {}, false},
		{"still queued", func(_ *delivery, st *stream) { st.recordEcho(200) }, false},
		{"being sent", func(_ *delivery, st *stream) {
			st.outbox.next()
			st.recordEcho(200)
		}, false},
		{"an earlier heartbeat answered", func(_ *delivery, st *stream) {
			sendQueued(st, 100)
			st.recordEcho(99)
		}, false},
		{"a later heartbeat answered", func(_ *delivery, st *stream) {
			sendQueued(st, 100)
			st.recordEcho(101)
		}, true},
		{"a later heartbeat answered on an ended stream", func(d *delivery, st *stream) {
			sendQueued(st, 100)
			d.detach(st)
			st.recordEcho(101)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &delivery{gate: gate.New(gate.Config{}), onChange: func() {}}
			st := newStream("entry", 0)
			must.True(t, d.applyFence(st, &pb.Fence{Generation: 1}))
			st.outbox.next()
			st.outbox.markSent()
			d.recordEnd(time.Second, gate.Record{Code: result.OK}, false)
			c.act(d, st)
			d.updateConfirmed(st)
			must.Eq(t, c.want, d.allConfirmed())
		})
	}
}

// sendQueued does what the stream's writer does to send what is queued.
func sendQueued(st *stream, at int64) {
	st.outbox.next()
	st.lastSent.Store(at)
	st.outbox.markSent()
}
