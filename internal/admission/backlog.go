package admission

import "github.com/pomelosill/pomelosill/internal/workload"

// DecodeBacklog returns the CPU that waits at a runner by level, in thousandths of a
// core. A runner of a version that doesn't report levels has only the total, which
// counts for the level that comes first: the work may be of any level, and none of it
// may be taken for work that an arriving job can overtake.
func DecodeBacklog(total uint64, byLevel []uint64) ByLevel {
	var out ByLevel
	if len(byLevel) == 0 {
		out.Add(0, float64(workload.DecodeAmount(total)))
	}
	for level, amount := range byLevel {
		out.Add(level, float64(workload.DecodeAmount(amount)))
	}
	return out
}
