package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
)

func TestAgentsWithUnsafeSettingsAreRejected(t *testing.T) {
	limits := agentLimits{maxFreshness: 3 * time.Second, minRetention: time.Minute}
	for name, c := range map[string]struct {
		change func(h *pb.Hello)
		want   result.Code
	}{
		"valid":                           {func(*pb.Hello) {}, result.OK},
		"no hello":                        {func(h *pb.Hello) { h.Endpoint = "" }, result.Malformed},
		"accepts stamps that are too old": {func(h *pb.Hello) { h.FreshnessNs++ }, result.SettingsValue},
		"forgets starts too early":        {func(h *pb.Hello) { h.RecordRetentionNs-- }, result.SettingsValue},
	} {
		t.Run(name, func(t *testing.T) {
			h := &pb.Hello{
				Endpoint: "e-1", Incarnation: "i-1",
				FreshnessNs: int64(limits.maxFreshness), RecordRetentionNs: int64(limits.minRetention),
			}
			c.change(h)
			err := limits.validate(h)
			must.Eq(t, c.want, result.CodeOf(err))
			must.Eq(t, c.want == result.OK, err == nil)
		})
	}
}

// A stamp must contain the age of the entry's confirmation. With a smaller age an
// agent could start work after another entry has taken the cell over.
func TestStampCarriesTheAgeOfTheConfirmation(t *testing.T) {
	d := &control.Document{
		Revision: 2,
		Roster:   []control.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}},
		Cells:    []control.Cell{{Owner: "e1", Generation: 4}},
	}
	now := time.Now()
	for name, c := range map[string]struct {
		age     time.Duration
		permits bool
	}{
		"fresh":    {time.Second, true},
		"too old":  {3 * time.Second, false},
		"very old": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			state := newControlState("e1")
			state.UpdateFromStore(d, 20, now.Add(-c.age))
			o := &ownership{control: state, settings: DefaultSettings()}
			owned := cell.New(o.cellConfig(0, 4), d, cell.AgentList{}, rand.New(rand.NewPCG(1, 2)), now)
			a := &agentRegistry{control: state, freshness: 3 * time.Second, counters: &counters{}}
			st := &agentStream{hello: &pb.Hello{Endpoint: "e-1"}, out: outbox.New[*pb.OwnerFrame]()}
			a.answerHeartbeat(st, owned, &pb.Heartbeat{SentNs: 1}, now)
			frames, ok := st.out.TakeAll(t.Context())
			must.True(t, ok)
			stamp := frames[0].GetStamp()
			must.Eq(t, c.permits, stamp.GetGeneration() != 0)
			if c.permits {
				must.Eq(t, c.age, time.Duration(stamp.GetAgeNs()))
			}
		})
	}
}

// A process of an agent that comes back after its successor has attached must not
// end the successor's stream.
func TestStreamOfAReplacedAgentIsRefused(t *testing.T) {
	a, _ := newServingRegistry(t)
	attach := func(incarnation string) (*agentStream, bool) {
		st := &agentStream{hello: &pb.Hello{Endpoint: "e-1", Incarnation: incarnation, Slots: 1}, out: outbox.New[*pb.OwnerFrame]()}
		ok := a.attach(st)
		a.handleFrame(st, &pb.AgentFrame{FenceAck: &pb.FenceAck{Generation: 4}})
		return st, ok
	}
	_, ok := attach("i1")
	must.True(t, ok)
	successor, ok := attach("i2")
	must.True(t, ok)
	_, ok = attach("i1")
	must.False(t, ok)
	must.True(t, a.streams["e-1"] == successor)
	must.True(t, successor.out.Put(&pb.OwnerFrame{}))
}
