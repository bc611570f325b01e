package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

func TestAgentsThatBreakTheEntrysRulesAreRefused(t *testing.T) {
	limits := agentLimits{maxFreshness: 3 * time.Second, minRetention: time.Minute}
	for name, c := range map[string]struct {
		change func(h *pb.Hello)
		want   result.Code
	}{
		"fits":                    {func(*pb.Hello) {}, result.OK},
		"no hello":                {func(h *pb.Hello) { h.Endpoint = "" }, result.Malformed},
		"starts on older stamps":  {func(h *pb.Hello) { h.FreshnessNs++ }, result.SettingsValue},
		"forgets starts too soon": {func(h *pb.Hello) { h.RecordRetentionNs-- }, result.SettingsValue},
	} {
		t.Run(name, func(t *testing.T) {
			h := &pb.Hello{
				Endpoint: "e-1", Incarnation: "i-1",
				FreshnessNs: int64(limits.maxFreshness), RecordRetentionNs: int64(limits.minRetention),
			}
			c.change(h)
			err := limits.check(h)
			must.Eq(t, c.want, result.CodeOf(err))
			must.Eq(t, c.want == result.OK, err == nil)
		})
	}
}
