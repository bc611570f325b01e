package model

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// callers submit jobs, and submit them again through other entries; operators
// take domains out and back.
type callers struct {
	process
	jobs []*job
}

// job is one submission id with what it asks for.
type job struct {
	id       uuid.UUID
	payloads []string
	timeout  time.Duration
	// remainingAttempts is how often it is still to be submitted.
	remainingAttempts int
	nextAt            time.Duration
}

func newCallers(w *Simulation) *callers {
	return &callers{process: newProcess(w, "callers")}
}

func (c *callers) step() {
	w := c.sim
	if w.elapsed < w.cfg.FaultDuration && w.chance(0.03) {
		c.newJob()
	}
	if w.elapsed < w.cfg.FaultDuration && w.chance(0.005) {
		c.toggleDomain()
	}
	for _, j := range c.jobs {
		if j.remainingAttempts > 0 && w.elapsed >= j.nextAt {
			c.submit(j)
		}
	}
}

func (c *callers) newJob() {
	w := c.sim
	j := &job{
		id:                c.newID(),
		timeout:           w.randomDuration(time.Second, 8*time.Second),
		remainingAttempts: 1,
		nextAt:            w.elapsed,
	}
	for i := range 1 + w.rnd.IntN(4) {
		j.payloads = append(j.payloads, fmt.Sprintf("payload-%d-%d", len(c.jobs), i))
	}
	if w.chance(0.5) {
		j.remainingAttempts += 1 + w.rnd.IntN(3)
	}
	c.jobs = append(c.jobs, j)
}

// newID is a UUID of version 7 by the caller's clock.
func (c *callers) newID() uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], c.sim.rnd.Uint64())
	binary.BigEndian.PutUint64(id[:8], uint64(c.now().UnixMilli())<<16)
	id[6] = 0x70
	id[8] = 0x80 | id[8]&0x3f
	return id
}

// submit makes one attempt at a random entry.
func (c *callers) submit(j *job) {
	w := c.sim
	j.remainingAttempts--
	j.nextAt = w.elapsed + w.randomDuration(0, 4*time.Second)
	if w.chance(0.1) {
		j.nextAt += idRetention
	}
	e := w.randomEntry()
	s := &pb.Submission{Id: j.id[:], Team: team, Digest: 1, TimeoutNs: int64(j.timeout)}
	for _, p := range j.payloads {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte(p)})
	}
	attempt := w.checker.attemptSubmitted(j)
	w.send(&c.process, &e.process, func() {
		e.relay.submit(s, func(a *pb.Answer) {
			w.send(&e.process, &c.process, func() { w.checker.attemptAnswered(attempt, a) })
		})
	})
}

// scheduleDomainOut takes a random domain out through an entry within a second.
func (c *callers) scheduleDomainOut(e *entry) {
	name := domainName(c.sim.rnd.IntN(3))
	c.sim.schedule(c.sim.randomDuration(0, time.Second), &e.process, func() { e.edit(name, true) })
}

// toggleDomain takes a random domain out or back.
func (c *callers) toggleDomain() {
	w := c.sim
	e := w.randomEntry()
	if !e.active() {
		return
	}
	out := w.chance(0.3)
	name := domainName(w.rnd.IntN(3))
	e.edit(name, out)
}

// edit gives an operator's command to the entry.
func (e *entry) edit(name string, out bool) {
	e.edits = append(e.edits, control.Edit{Operator: "op", Statement: name, Domain: &control.ServiceEdit{Name: name, Out: out}})
}

// encodeAnswer is the answer as the caller gets it.
func encodeAnswer(a *pb.Answer) []byte {
	id, _ := uuid.FromBytes(a.GetId())
	out := api.Answer{ID: id.String()}
	out.Code = result.Code(a.GetCode())
	out.Effect = result.Describe(out.Code).Effect
	for _, o := range a.GetOutcomes() {
		code := result.Code(o.GetCode())
		out.Tasks = append(out.Tasks, api.TaskAnswer{
			Index:  int(o.GetTask().GetIndex()),
			Code:   code,
			Effect: result.Describe(code).Effect,
			Body:   o.GetBody(),
		})
	}
	text, err := json.Marshal(out)
	if err != nil {
		return []byte(err.Error())
	}
	return text
}
