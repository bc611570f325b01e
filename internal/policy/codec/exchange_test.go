package codec_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
)

func newMessage(revision uint64, document string) *pb.Policy {
	return &pb.Policy{Revision: revision, Config: []byte(document), Evacuated: []string{"z1"}}
}

func TestNewerPoliciesAreTakenOver(t *testing.T) {
	b := policy.NewHolder()
	cases := []struct {
		name  string
		p     *pb.Policy
		taken bool
	}{
		{"none", nil, false},
		{"the first", newMessage(5, `{"version":2}`), true},
		{"the same", newMessage(5, `{"version":3}`), false},
		{"an older one", newMessage(4, `{"version":3}`), false},
		{"one that can't be read", newMessage(7, `{`), false},
		{"an older configuration", newMessage(8, `{"version":1}`), false},
		{"a newer one", newMessage(9, `{"version":3}`), true},
	}
	for _, c := range cases {
		must.Eq(t, c.taken, codec.Apply(b, c.p, zap.NewNop()), must.Sprint(c.name))
	}
	must.Eq(t, 9, b.Revision())
	must.True(t, b.Current().OutOfService("z1"))
}

func TestEncodedPolicyIsTakenOverAlike(t *testing.T) {
	from, to := policy.NewHolder(), policy.NewHolder()
	must.True(t, codec.Apply(from, newMessage(5, `{"version":2}`), zap.NewNop()))
	must.True(t, codec.Apply(to, codec.Encode(from.Current()), zap.NewNop()))
	must.Eq(t, from.Current(), to.Current())
}
