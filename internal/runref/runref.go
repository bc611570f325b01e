// Package runref converts run IDs to and from messages.
package runref

import (
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// Encode returns the message form of a run ID.
func Encode(r workload.RunID) *pb.RunRef { return &pb.RunRef{Task: r.Task, Attempt: r.Attempt} }

// Decode returns the run ID of a message.
func Decode(r *pb.RunRef) workload.RunID {
	return workload.RunID{Task: r.GetTask(), Attempt: r.GetAttempt()}
}
