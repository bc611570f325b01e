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

// ownerStream is a stream to another entry.
type ownerStream struct {
	id  string
	out *outbox.Outbox[*pb.RelayRequest]
}

// streamTo returns the stream to another entry, opening one if there is none.
func (r *submissionRelay) streamTo(ctx context.Context, m control.Member) *ownerStream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.streams[m.ID]; l != nil {
		return l
	}
	l := &ownerStream{id: m.ID, out: outbox.New[*pb.RelayRequest]()}
	r.streams[m.ID] = l
	go r.runStream(context.WithoutCancel(ctx), l, m.Address)
	return l
}

// runStream serves one stream until it breaks; what was sent on it goes out
// again on another.
func (r *submissionRelay) runStream(ctx context.Context, l *ownerStream, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := pomelosillv1connect.NewDispatchServiceClient(r.client, "http://"+address)
	s := client.Relay(ctx)
	go func() {
		defer cancel()
		r.writeStream(ctx, l, s)
	}()
	for {
		res, err := s.Receive()
		if err != nil {
			break
		}
		for _, a := range res.GetAnswers() {
			ref := ownerRef{id: l.id, generation: a.GetGeneration(), stream: l}
			if len(a.GetId()) == len(sched.Key{}) {
				r.handleAnswer(sched.Key(a.GetId()), ref, a)
			}
		}
	}
	r.dropStream(l)
	_ = s.CloseRequest()
	_ = s.CloseResponse()
}

func (r *submissionRelay) writeStream(ctx context.Context, l *ownerStream, s *connect.BidiStreamForClient[pb.RelayRequest, pb.RelayResponse]) {
	for {
		reqs, ok := l.out.TakeAll(ctx)
		if !ok {
			return
		}
		all := &pb.RelayRequest{}
		for _, q := range reqs {
			all.Submissions = append(all.Submissions, q.Submissions...)
			all.Cancels = append(all.Cancels, q.Cancels...)
		}
		if s.Send(all) != nil {
			return
		}
	}
}

// dropStream forgets a broken stream; the sweep sends its submissions again.
func (r *submissionRelay) dropStream(l *ownerStream) {
	l.out.Close()
	r.mu.Lock()
	if r.streams[l.id] == l {
		delete(r.streams, l.id)
	}
	r.mu.Unlock()
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		for _, j := range sh.jobs {
			if j.sentTo.stream == l {
				j.sentTo = ownerRef{}
			}
			if c := j.copiesAt(l.id); c.unanswered > 0 {
				c.unanswered = 0
				c.streamBroken = true
			}
		}
		sh.mu.Unlock()
	}
}

// Relay serves another entry's submissions to the cells owned here.
func (e *Entry) Relay(ctx context.Context, s *connect.BidiStream[pb.RelayRequest, pb.RelayResponse]) error {
	out := outbox.New[*pb.Answer]()
	defer out.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() { cancel(e.readRelay(s, out)) }()
	// Only the handler sends: a send after its end would panic.
	writeAnswers(ctx, out, s)
	return context.Cause(ctx)
}

// readRelay takes requests until the stream ends.
func (e *Entry) readRelay(s *connect.BidiStream[pb.RelayRequest, pb.RelayResponse], out *outbox.Outbox[*pb.Answer]) error {
	for {
		req, err := s.Receive()
		if err != nil {
			return err
		}
		for _, sub := range req.GetSubmissions() {
			e.counters.relaysReceived.Add(1)
			e.submitLocal(sub, out)
		}
		for _, cn := range req.GetCancels() {
			if c := e.ownership.Cell(cn.GetCell()); c != nil && len(cn.GetId()) == len(sched.Key{}) {
				c.Cancel(sched.Key(cn.GetId()), time.Now())
			}
		}
	}
}

func (e *Entry) submitLocal(sub *pb.Submission, out *outbox.Outbox[*pb.Answer]) {
	c := e.ownership.Cell(sub.GetCell())
	if c == nil {
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
