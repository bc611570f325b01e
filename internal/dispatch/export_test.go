package dispatch

// ForwardAll makes a starved dispatcher forward every job that may be forwarded, not only
// the fraction that it has reached. It must be called before Run.
func (d *Dispatcher) ForwardAll() { d.handover.random = func() float64 { return 0 } }
