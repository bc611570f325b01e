package exchange_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/policy/exchange"
)

func sent(revision uint64, document string) *pb.Policy {
	return &pb.Policy{Revision: revision, Config: []byte(document), Evacuated: []string{"z1"}}
}

func TestNewerPoliciesAreTakenOver(t *testing.T) {
	b := policy.NewBoard()
	cases := []struct {
		name  string
		p     *pb.Policy
		taken bool
	}{
		{"none", nil, false},
		{"the first", sent(5, `{"version":2}`), true},
		{"the same", sent(5, `{"version":3}`), false},
		{"an older one", sent(4, `{"version":3}`), false},
		{"one that can't be read", sent(7, `{`), false},
		{"an older configuration", sent(8, `{"version":1}`), false},
		{"a newer one", sent(9, `{"version":3}`), true},
	}
	for _, c := range cases {
		must.Eq(t, c.taken, exchange.Take(b, c.p, zap.NewNop()), must.Sprint(c.name))
	}
	must.Eq(t, 9, b.Revision())
	must.True(t, b.State().OutOfService("z1"))
}

func TestEncodedPolicyIsTakenOverAlike(t *testing.T) {
	from, to := policy.NewBoard(), policy.NewBoard()
	must.True(t, exchange.Take(from, sent(5, `{"version":2}`), zap.NewNop()))
	must.True(t, exchange.Take(to, exchange.Encode(from.State()), zap.NewNop()))
	must.Eq(t, from.State(), to.State())
}
