package agent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// A stamp must expire while the host is suspended, when the runtime's monotonic
// clock stands still: meanwhile the endpoint may have been taken out of service.
func TestStampExpiresWhileTheHostIsSuspended(t *testing.T) {
	sinceBoot := time.Hour
	defer clock.Simulate(func() time.Duration { return sinceBoot })()
	a := newDetachedAgent(t)
	st := newStream("entry", a.now())
	a.handleFrame(st, &pb.OwnerFrame{Fence: &pb.Fence{Generation: 1}, Stamp: &pb.Stamp{Generation: 1, InService: true}})
	sinceBoot += a.settings.Freshness.Std() + 1
	a.handleFrame(st, &pb.OwnerFrame{Starts: []*pb.Start{newStart(1, newSubmission(t), 0)}})
	st.outbox.next()
	sent, _ := st.outbox.next()
	must.Len(t, 1, sent.outcomes)
	mustHaveCode(t, result.StaleStamp, sent.outcomes[0])
}
