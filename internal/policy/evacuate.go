package policy

import "slices"

// WithEvacuated returns a copy of the snapshot with a failure domain taken out
// of service or returned to service.
func (s *Snapshot) WithEvacuated(domain string, out bool) *Snapshot {
	next := *s
	next.Evacuated = slices.Clone(s.Evacuated)
	i, found := slices.BinarySearch(next.Evacuated, domain)
	switch {
	case out && !found:
		next.Evacuated = slices.Insert(next.Evacuated, i, domain)
	case !out && found:
		next.Evacuated = slices.Delete(next.Evacuated, i, i+1)
	}
	return &next
}
