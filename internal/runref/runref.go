// Package runref translates the name of a run between work and messages.
package runref

import (
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// Encode names a run in a message.
func Encode(r workload.RunID) *pb.RunRef { return &pb.RunRef{Task: r.Task, Attempt: r.Attempt} }

// Decode is the run that a message names.
func Decode(r *pb.RunRef) workload.RunID {
	return workload.RunID{Task: r.GetTask(), Attempt: r.GetAttempt()}
}
