package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// ownerStream is a stream of submissions to another entry.
type ownerStream struct {
	id  string
	out *outbox.Outbox[*pb.RelayRequest]
}

// streamTo returns the stream to another entry and opens one if there is none.
func (r *submissionRelay) streamTo(ctx context.Context, m control.Member) *ownerStream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st := r.streams[m.ID]; st != nil {
		return st
	}
	st := &ownerStream{id: m.ID, out: outbox.New[*pb.RelayRequest]()}
	r.streams[m.ID] = st
	go r.runStream(context.WithoutCancel(ctx), st, m.Address)
	return st
}

// runStream serves one stream until it breaks. Its unanswered submissions are
// then sent again on a new stream.
func (r *submissionRelay) runStream(ctx context.Context, st *ownerStream, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := pomelosillv1connect.NewDispatchServiceClient(r.client, "http://"+address)
	s := client.Relay(ctx)
	go func() {
		defer cancel()
		r.writeStream(ctx, st, s)
	}()
	for {
		res, err := s.Receive()
		if err != nil {
			break
		}
		for _, a := range res.GetAnswers() {
			ref := ownerRef{id: st.id, generation: a.GetGeneration(), stream: st}
			if len(a.GetId()) == len(sched.Key{}) {
				r.handleAnswer(sched.Key(a.GetId()), ref, a)
			}
		}
	}
	r.dropStream(st)
	_ = s.CloseRequest()
	_ = s.CloseResponse()
}

func (r *submissionRelay) writeStream(ctx context.Context, st *ownerStream, s *connect.BidiStreamForClient[pb.RelayRequest, pb.RelayResponse]) {
	for {
		reqs, ok := st.out.TakeAll(ctx)
		if !ok {
			return
		}
		merged := &pb.RelayRequest{}
		for _, req := range reqs {
			merged.Submissions = append(merged.Submissions, req.Submissions...)
			merged.Cancels = append(merged.Cancels, req.Cancels...)
		}
		if s.Send(merged) != nil {
			return
		}
	}
}

// dropStream removes a broken stream and marks its submissions to be sent again.
func (r *submissionRelay) dropStream(st *ownerStream) {
	st.out.Close()
	r.mu.Lock()
	if r.streams[st.id] == st {
		delete(r.streams, st.id)
	}
	r.mu.Unlock()
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		for _, j := range sh.jobs {
			if j.sentTo.stream == st {
				j.sentTo = ownerRef{}
			}
			if c := j.copiesAt(st.id); c.unanswered > 0 {
				c.unanswered = 0
				c.streamBroken = true
			}
		}
		sh.mu.Unlock()
	}
}

// Relay serves the submissions that another entry relays to this entry's cells.
func (e *Entry) Relay(ctx context.Context, s *connect.BidiStream[pb.RelayRequest, pb.RelayResponse]) error {
	out := outbox.New[*pb.Answer]()
	defer out.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() { cancel(e.readRelay(s, out)) }()
	// Send only from the handler: a send after the handler has returned panics.
	writeAnswers(ctx, out, s)
	return context.Cause(ctx)
}

// readRelay handles relayed submissions and cancellations until the stream ends.
func (e *Entry) readRelay(s *connect.BidiStream[pb.RelayRequest, pb.RelayResponse], out *outbox.Outbox[*pb.Answer]) error {
	for {
		req, err := s.Receive()
		if err != nil {
			return err
		}
		e.handleRelay(req, out)
	}
}

func (e *Entry) handleRelay(req *pb.RelayRequest, out *outbox.Outbox[*pb.Answer]) {
	for _, sub := range req.GetSubmissions() {
		e.counters.relaysReceived.Add(1)
		e.submitLocal(sub, out)
	}
	for _, cancel := range req.GetCancels() {
		if c := e.ownership.Cell(cancel.GetCell()); c != nil && len(cancel.GetId()) == len(sched.Key{}) {
			c.Cancel(sched.Key(cancel.GetId()), time.Now())
		}
	}
}

// submitLocal passes a relayed submission to its cell. A submission that is meant
// for an earlier generation was delayed on its way. Since then another owner may
// have refused it as not run.
func (e *Entry) submitLocal(sub *pb.Submission, out *outbox.Outbox[*pb.Answer]) {
	c := e.ownership.Cell(sub.GetCell())
	if c == nil || (sub.GetGeneration() != 0 && sub.GetGeneration() != c.Generation()) {
		out.Put(&pb.Answer{Id: sub.GetId(), Code: uint32(result.NotOwner)})
		return
	}
	c.Submit(sub, func(a *pb.Answer) {
		e.confirmer.Deliver(a, func(a *pb.Answer) { out.Put(a) })
	}, time.Now())
}

func writeAnswers(ctx context.Context, out *outbox.Outbox[*pb.Answer], s *connect.BidiStream[pb.RelayRequest, pb.RelayResponse]) {
	for {
		answers, ok := out.TakeAll(ctx)
		if !ok {
			return
		}
		if s.Send(&pb.RelayResponse{Answers: answers}) != nil {
			return
		}
	}
}
