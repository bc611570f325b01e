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

// callers submits jobs, and resubmits them through other entries. It also acts
// as the operators, who take domains out of service and back.
type callers struct {
	process
	jobs []*job
}

// job is a submission ID with its payloads.
type job struct {
	id       uuid.UUID
	payloads []string
	timeout  time.Duration
	// remainingAttempts is how often the job is still to be submitted.
	remainingAttempts int
	nextAt            time.Duration
}

func newCallers(sim *Simulation) *callers {
	return &callers{process: newProcess(sim, "callers")}
}

func (c *callers) step() {
	sim := c.sim
	if sim.elapsed < sim.cfg.FaultDuration && sim.chance(0.03) {
		c.newJob()
	}
	if sim.elapsed < sim.cfg.FaultDuration && sim.chance(0.005) {
		c.toggleDomain()
	}
	for _, j := range c.jobs {
		if j.remainingAttempts > 0 && sim.elapsed >= j.nextAt {
			c.submit(j)
		}
	}
}

func (c *callers) newJob() {
	sim := c.sim
	j := &job{
		id:                c.newID(),
		timeout:           sim.randomDuration(time.Second, 8*time.Second),
		remainingAttempts: 1,
		nextAt:            sim.elapsed,
	}
	for i := range 1 + sim.rnd.IntN(4) {
		j.payloads = append(j.payloads, fmt.Sprintf("payload-%d-%d", len(c.jobs), i))
	}
	if sim.chance(0.5) {
		j.remainingAttempts += 1 + sim.rnd.IntN(3)
	}
	c.jobs = append(c.jobs, j)
}

// newID returns a UUID of version 7 by the caller's clock.
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
	sim := c.sim
	j.remainingAttempts--
	j.nextAt = sim.elapsed + sim.randomDuration(0, 4*time.Second)
	if sim.chance(0.1) {
		j.nextAt += idRetention
	}
	e := sim.randomEntry()
	s := &pb.Submission{Id: j.id[:], Team: team, Digest: 1, TimeoutNs: int64(j.timeout)}
	for _, p := range j.payloads {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte(p)})
	}
	attempt := sim.checker.attemptSubmitted(j)
	sim.send(&c.process, &e.process, func() {
		e.relay.submit(s, func(a *pb.Answer) {
			sim.send(&e.process, &c.process, func() { sim.checker.attemptAnswered(attempt, a) })
		})
	})
}

// scheduleDomainOut takes a random domain out of service through an entry
// within a second.
func (c *callers) scheduleDomainOut(e *entry) {
	name := domainName(c.sim.rnd.IntN(3))
	c.sim.schedule(c.sim.randomDuration(0, time.Second), &e.process, func() { e.edit(name, true) })
}

// toggleDomain takes a random domain out of service or back through a random
// entry.
func (c *callers) toggleDomain() {
	sim := c.sim
	e := sim.randomEntry()
	if !e.active() {
		return
	}
	out := sim.chance(0.3)
	name := domainName(sim.rnd.IntN(3))
	e.edit(name, out)
}

// edit passes an operator's command to the entry.
func (e *entry) edit(name string, out bool) {
	e.edits = append(e.edits, control.Edit{Operator: "op", Statement: name, Domain: &control.ServiceEdit{Name: name, Out: out}})
}

// encodeAnswer returns the answer in the form that callers get.
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
