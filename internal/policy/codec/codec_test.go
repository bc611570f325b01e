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

func TestApplyIgnoresOldAndInvalidPolicies(t *testing.T) {
	h := policy.NewHolder()
	cases := []struct {
		name    string
		policy  *pb.Policy
		applied bool
	}{
		{"none", nil, false},
		{"the first policy", newMessage(5, `{"version":2}`), true},
		{"the same revision", newMessage(5, `{"version":3}`), false},
		{"an older revision", newMessage(4, `{"version":3}`), false},
		{"an invalid configuration", newMessage(7, `{`), false},
		{"an older configuration version", newMessage(8, `{"version":1}`), false},
		{"a newer policy", newMessage(9, `{"version":3}`), true},
	}
	for _, c := range cases {
		must.Eq(t, c.applied, codec.Apply(h, c.policy, zap.NewNop()), must.Sprint(c.name))
	}
	must.Eq(t, 9, h.Revision())
	must.True(t, h.Current().OutOfService("z1"))
	must.Eq(t, policy.Transfers{Newer: 2, Copies: 4, CopyBytes: uint64(3*len(`{"version":3}`) + len(`{`))}, h.Transfers())
}

func TestEncodedPolicyIsAppliedUnchanged(t *testing.T) {
	from, to := policy.NewHolder(), policy.NewHolder()
	must.True(t, codec.Apply(from, newMessage(5, `{"version":2}`), zap.NewNop()))
	must.True(t, codec.Apply(to, codec.Encode(from.Current()), zap.NewNop()))
	must.Eq(t, from.Current(), to.Current())
}

// The domains out of service are searched as a sorted list. One that another process
// sent in another order must not stay in service.
func TestUnsortedDomainsAreOutOfService(t *testing.T) {
	h := policy.NewHolder()
	must.True(t, codec.Apply(h, &pb.Policy{Revision: 1, Config: []byte(`{"version":1}`), Evacuated: []string{"z3", "z2", "z1"}}, zap.NewNop()))
	for _, domain := range []string{"z1", "z2", "z3"} {
		must.True(t, h.Current().OutOfService(domain), must.Sprint(domain))
	}
}
