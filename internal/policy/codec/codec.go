// Package codec converts the policy to and from the messages by which processes
// propagate it.
package codec

import (
	"slices"

	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/platform"
)

// Encode returns the message for a policy. It holds the configuration as
// encoded in the store, so that each process decodes the same bytes.
func Encode(s *policy.Snapshot) *pb.Policy {
	return &pb.Policy{Revision: s.Revision, Config: s.Document, Evacuated: s.Evacuated}
}

// Apply applies a policy received from another process, nil for none, and
// reports whether it was newer than the current one.
func Apply(h *policy.Holder, p *pb.Policy, log *zap.Logger) bool {
	if p == nil {
		return false
	}
	s := decodeNewer(h, p, log)
	applied := s != nil && h.Apply(s)
	t := h.CountTransfer(applied, len(p.GetConfig()))
	if applied {
		log.Info("policy: applied, received from another process", zap.Uint64("revision", s.Revision),
			zap.Uint64("version", s.Config.Version), zap.Strings("evacuated", s.Evacuated),
			zap.Uint64("copies", t.Copies), zap.Uint64("copy bytes", t.CopyBytes))
	}
	return applied
}

// decodeNewer returns the decoded policy, or nil if it isn't newer than the current one or can't
// be decoded, which is logged.
func decodeNewer(h *policy.Holder, p *pb.Policy, log *zap.Logger) *policy.Snapshot {
	if p.GetRevision() <= h.Revision() {
		return nil
	}
	config, err := platform.DecodeConfig(p.GetConfig())
	if err != nil {
		log.Warn("policy: invalid policy from another process ignored", zap.Uint64("revision", p.GetRevision()), zap.Error(err))
		return nil
	}
	return &policy.Snapshot{
		Revision: p.GetRevision(), Document: p.GetConfig(), Config: config, Evacuated: slices.Sorted(slices.Values(p.GetEvacuated())),
	}
}
