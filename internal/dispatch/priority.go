package dispatch

// level returns the priority level of the job's route in the current configuration.
// Jobs that wait while the configuration changes follow it.
func (d *Dispatcher) level(j *job) int { return d.policy.Current().Level(j.route.Name) }
