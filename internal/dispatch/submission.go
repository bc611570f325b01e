package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// defaultMaxBodyBytes bounds the request body where the configuration sets no limit.
const defaultMaxBodyBytes = 256 << 10

// submission is a request to run a job, from a caller or forwarded.
type submission struct {
	// caller is the network address of the caller, without the port.
	caller string
	// connection was open at openAt.
	connection callerConn
	openAt     time.Duration
	host, path string
	body       []byte
	// policyRevision, limits and route are those of the policy that the route was
	// found in.
	policyRevision uint64
	limits         policy.Limits
	route          *policy.Route
	// id and spec are the job's.
	id   string
	spec *workload.Job
	// deadline is when the caller stops waiting.
	deadline time.Duration
}

// match finds the route.
func (s *submission) match(p *policy.Snapshot) error {
	route, found := p.Config.Match(s.host, s.path)
	if !found {
		return result.Errorf(result.NotFound, "no route for host %q and path %q in version %d", s.host, s.path, p.Config.Version)
	}
	s.policyRevision, s.limits, s.route = p.Revision, p.Config.Limits, route
	s.id = strings.TrimPrefix(s.path, route.Prefix)
	return nil
}

// routeName returns the name of the route, or an empty string if there is none.
func (s *submission) routeName() string {
	if s.route == nil {
		return ""
	}
	return s.route.Name
}

// maxBodyBytes is the limit of the body's size.
func (s *submission) maxBodyBytes() int64 {
	if s.limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return s.limits.MaxBodyBytes
}

// read reads and decodes the body of a caller's request.
func (s *submission) read(r *http.Request) error {
	var err error
	// One byte more than the limit shows that it is exceeded.
	s.body, err = io.ReadAll(io.LimitReader(r.Body, s.maxBodyBytes()+1))
	if err != nil {
		return result.Wrap(result.Malformed, err, "reading the request body")
	}
	return s.decode()
}

// decode decodes the body.
func (s *submission) decode() error {
	if limit := s.maxBodyBytes(); int64(len(s.body)) > limit {
		return result.Errorf(result.TooLarge, "the request body exceeds %d bytes", limit)
	}
	var err error
	s.spec, err = platform.DecodeJob(s.id, s.body)
	return err
}

// errCallerGone means that the caller has disconnected before its job was admitted.
var errCallerGone = errors.New("the caller has disconnected")

// serveSubmission admits or forwards a job and waits for its answer. It reports false if
// the caller has disconnected. The error means that the job was refused.
func (d *Dispatcher) serveSubmission(ctx context.Context, s *submission, now time.Duration) (platform.Answer, bool, error) {
	j, f, err := d.submit(s, now)
	// The body may be much larger than the job, which waits longer.
	s.body = nil
	if errors.Is(err, errCallerGone) {
		return platform.Answer{}, false, nil
	}
	if f != nil {
		if !d.awaitForwarded(ctx, f) {
			return platform.Answer{}, false, nil
		}
		j, err = f.local, f.err
		if j == nil && err == nil {
			return f.answer, true, nil
		}
	}
	if err != nil {
		return platform.Answer{}, false, err
	}
	a, answered := d.awaitAnswer(ctx, j)
	return a, answered, nil
}

// submit admits a caller's job, or forwards it to a peer. It returns either the running
// job with the same ID or a new one, local or forwarded, or errCallerGone.
func (d *Dispatcher) submit(s *submission, now time.Duration) (*job, *forwardedJob, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.openAt = clock.SinceBoot()
	if !s.connection.open() {
		d.log.Info("job: not admitted, its caller's connection is closed", zap.String("job", s.spec.ID))
		return nil, nil, errCallerGone
	}
	if f := d.handover.forwarded[s.spec.ID]; f != nil {
		d.log.Info("job: resubmitted while it is forwarded", zap.String("job", s.spec.ID), zap.String("peer", f.peer.Name))
		f.callerCount++
		f.job.addConnection(s)
		return nil, f, nil
	}
	j, arrived, err := d.arrive(s, now)
	if !arrived || err != nil {
		return j, nil, err
	}
	if peer, chosen := d.choosePeer(j, now); chosen {
		return nil, d.forward(j, s, peer, now), nil
	}
	j, err = d.admitNew(j, now)
	return j, nil, err
}
