package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// leaseKeyPrefix is the prefix of the keys that entries hold under a lease.
const leaseKeyPrefix = "pomelosill/alive/"

// membership puts the entry on the roster, keeps its lease in the store, and
// takes members off whose lease has lapsed.
type membership struct {
	store    store.Store
	control  *controlState
	writer   *documentWriter
	peers    *peers
	member   control.Member
	settings *Settings
	log      *zap.Logger
	// leasesReadAt is when the leases were last read.
	leasesReadAt time.Time
}

func (m *membership) run(ctx context.Context) {
	tick := time.NewTicker(m.settings.ConfirmInterval.Std())
	defer tick.Stop()
	lease := store.LeaseID(0)
	for {
		lease = m.step(ctx, lease)
		select {
		case <-tick.C:
		case <-ctx.Done():
			m.revoke(lease)
			return
		}
	}
}

// step renews the lease and does what it allows. It returns the lease to
// renew next, zero for a new one.
func (m *membership) step(ctx context.Context, lease store.LeaseID) store.LeaseID {
	lease = m.renewLease(ctx, lease)
	if lease == 0 {
		return 0
	}
	m.join(ctx)
	if time.Since(m.leasesReadAt) < m.settings.LeaseTTL.Std() {
		return lease
	}
	m.leasesReadAt = time.Now()
	if !m.checkLeases(ctx) {
		// The answer to the write of the key was lost, and so was the write.
		m.leasesReadAt = time.Time{}
		return 0
	}
	return lease
}

func (m *membership) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.settings.StoreTimeout.Std())
}

// renewLease renews the lease, or makes a new one; zero means that there is
// none now.
func (m *membership) renewLease(ctx context.Context, lease store.LeaseID) store.LeaseID {
	ctx, cancel := m.storeContext(ctx)
	defer cancel()
	if lease != 0 {
		err := m.store.KeepAlive(ctx, lease)
		if result.CodeOf(err) != result.StoreLeaseExpired {
			return lease
		}
	}
	lease, err := m.store.Grant(ctx, m.settings.LeaseTTL.Std())
	if err != nil {
		return 0
	}
	_, err = m.store.CompareAndSwap(ctx, leaseKeyPrefix+m.member.ID, 0, []byte(m.member.Address), lease)
	if code := result.CodeOf(err); code != result.OK && code != result.StoreAnswerLost {
		return 0
	}
	return lease
}

func (m *membership) revoke(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := m.storeContext(context.Background())
	defer cancel()
	_ = m.store.Revoke(ctx, lease)
}

// join puts the entry on the roster if it is not there.
func (m *membership) join(ctx context.Context) {
	d := m.control.Document()
	if m.control.Leaving() || (d != nil && d.HasMember(m.member.ID)) {
		return
	}
	if d == nil {
		m.createDocument(ctx)
		return
	}
	if len(d.PreviousRoster) > 0 {
		m.peers.RequestExchange()
	}
	_, err := m.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		if d.HasMember(m.member.ID) {
			return nil, nil
		}
		return control.AddMember(d, m.member, op, m.control.Acked(d.Revision))
	})
	if err != nil {
		m.log.Warn("not on the roster yet", zap.Error(err))
		return
	}
	m.log.Info("joined the roster")
}

// createDocument writes the first document of all.
func (m *membership) createDocument(ctx context.Context) {
	if err := m.writer.storeSync.readDocument(ctx); err != nil || m.control.Document() != nil {
		return
	}
	d := control.NewDocument(m.member, m.settings.Cells, m.member.ID)
	for _, t := range m.settings.DefaultTeams {
		d.Config.Teams = append(d.Config.Teams, control.Team{
			Name: t.Name, Weight: t.Weight, MaxRunning: t.MaxRunning, MaxQueued: t.MaxQueued,
		})
	}
	value, err := json.Marshal(d)
	if err != nil {
		return
	}
	ctx, cancel := m.storeContext(ctx)
	defer cancel()
	if _, err := m.store.CompareAndSwap(ctx, control.DocumentKey, 0, value, 0); err == nil {
		m.log.Info("wrote the first control document", zap.Int("cells", m.settings.Cells))
	}
	m.writer.storeSync.RequestRead()
}

// checkLeases reads who holds a lease, and takes one member off the roster
// that neither holds one nor answers. It is false if the store lacks this
// entry's own key.
func (m *membership) checkLeases(ctx context.Context) bool {
	cctx, cancel := m.storeContext(ctx)
	defer cancel()
	ch, err := m.store.Watch(cctx, leaseKeyPrefix, 0, 0)
	if err != nil {
		return true
	}
	alive := map[string]bool{}
	for _, e := range ch.Entries {
		alive[strings.TrimPrefix(e.Key, leaseKeyPrefix)] = true
	}
	m.control.SetLeaseHolders(alive)
	d := m.control.Document()
	if d == nil || !d.HasMember(m.member.ID) || !m.isRemover(d, alive) {
		return alive[m.member.ID]
	}
	for _, o := range d.Roster {
		if !alive[o.ID] && o.ID != m.member.ID && !m.peers.IsAlive(o.ID) {
			m.removeDead(ctx, o)
			break
		}
	}
	return alive[m.member.ID]
}

// isRemover lets one member do the removals, the first that is alive.
func (m *membership) isRemover(d *control.Document, alive map[string]bool) bool {
	for _, o := range d.Roster {
		if alive[o.ID] {
			return o.ID == m.member.ID
		}
	}
	return false
}

func (m *membership) removeDead(ctx context.Context, o control.Member) {
	_, err := m.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		if !d.HasMember(o.ID) {
			return nil, nil
		}
		return control.RemoveMember(d, o.ID, op, false, m.control.Acked(d.Revision))
	})
	if err != nil {
		m.log.Warn("a dead entry stays on the roster", zap.String("entry", o.ID), zap.Error(err))
		return
	}
	m.log.Info("took a dead entry off the roster", zap.String("entry", o.ID))
}
