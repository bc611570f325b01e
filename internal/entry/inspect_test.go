package entry

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Looking up a job must not bypass the confirmation of an answer that says "not
// run": the entry may have been paused while a new owner ran the job.
func TestLookupConfirmsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		confirm *control.Document
		want    []result.Code
	}{
		"not confirmed": {nil, nil},
		"confirmed":     {documentOwnedBy(3, "e1", 5), []result.Code{result.Cancelled}},
		"taken over":    {documentOwnedBy(4, "e2", 6), nil},
	} {
		t.Run(name, func(t *testing.T) {
			state := newControlState("e1")
			state.UpdateFromStore(documentOwnedBy(3, "e1", 5), 30, time.Now())
			local := servingCell(t, documentOwnedBy(3, "e1", 5))
			e := &Entry{id: "e1", control: state}
			e.ownership = &ownership{control: state, cells: map[uint32]*ownedCell{0: {cell: local}}}
			e.confirmer = newAnswerConfirmer(state, func() {}, time.Minute)
			id := uuid.Must(uuid.NewV7())
			local.Submit(&pb.Submission{Id: id[:], Team: "alerts", TimeoutNs: int64(time.Minute), Tasks: []*pb.Task{{}}}, func(*pb.Answer) {}, time.Now())
			must.True(t, local.Cancel([16]byte(id), time.Now()))

			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if c.confirm != nil {
				state.UpdateFromStore(c.confirm, 40, time.Now().Add(time.Minute))
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				e.confirmer.run(ctx)
			}()
			rows, err := e.localAnswer(ctx, id[:])
			must.Eq(t, c.confirm == nil, err != nil)
			var got []result.Code
			for _, r := range rows {
				got = append(got, r.Answer.Code)
			}
			must.Eq(t, c.want, got)
			cancel()
			<-ended
		})
	}
}
