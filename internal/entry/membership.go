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

// leaseKeyPrefix is the prefix of the keys that entries hold under their leases.
const leaseKeyPrefix = "pomelosill/alive/"

// membership adds this entry to the roster, renews its lease in the store, and
// removes dead members from the roster.
type membership struct {
	store    store.Store
	control  *controlState
	writer   *documentWriter
	peers    *peers
	member   control.Member
	settings *Settings
	log      *zap.Logger
	// leasesReadAt is when the leases were last read, zero to read them again.
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

// step renews the lease and, if there is one, joins the roster and checks the
// other members' leases. It returns the lease to renew next, or zero if a new
// one is needed.
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
		// The write of this entry's key did not take effect, and its answer was
		// lost: get a new lease and write the key again.
		m.leasesReadAt = time.Time{}
		return 0
	}
	return lease
}

func (m *membership) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.settings.StoreTimeout.Std())
}

// renewLease renews the lease, or requests a new one if there is none or it has
// expired. It returns zero if the entry gets none. A renewal that fails otherwise
// keeps the lease, since it may still be valid.
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

// join adds this entry to the roster if it is not on it.
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
		m.log.Warn("could not join the roster; will retry", zap.Error(err))
		return
	}
	m.log.Info("joined the roster")
}

// createDocument writes the system's first control document unless the store
// already holds one.
func (m *membership) createDocument(ctx context.Context) {
	if err := m.writer.storeSync.readDocument(ctx); err != nil || m.control.Document() != nil {
		return
	}
	d := control.NewDocument(m.member, m.settings.Cells, m.member.ID)
	d.Config.Teams = m.settings.firstTeams()
	value, err := json.Marshal(d)
	if err != nil {
		return
	}
	ctx, cancel := m.storeContext(ctx)
	defer cancel()
	if _, err := m.store.CompareAndSwap(ctx, control.DocumentKey, 0, value, 0); err == nil {
		m.log.Info("first control document created", zap.Int("cells", m.settings.Cells))
	}
	m.writer.storeSync.RequestRead()
}

// checkLeases reads which members hold a lease, and removes from the roster one
// member that neither holds a lease nor answers. It reports whether the store
// has this entry's own key.
func (m *membership) checkLeases(ctx context.Context) bool {
	watchCtx, cancel := m.storeContext(ctx)
	defer cancel()
	changes, err := m.store.Watch(watchCtx, leaseKeyPrefix, 0, 0)
	if err != nil {
		return true
	}
	holders := map[string]bool{}
	for _, e := range changes.Entries {
		holders[strings.TrimPrefix(e.Key, leaseKeyPrefix)] = true
	}
	m.control.SetLeaseHolders(holders)
	d := m.control.Document()
	if d == nil || !d.HasMember(m.member.ID) || !m.isRemover(d, holders) {
		return holders[m.member.ID]
	}
	for _, other := range d.Roster {
		if !holders[other.ID] && other.ID != m.member.ID && !m.peers.IsAlive(other.ID) {
			m.removeDead(ctx, other)
			break
		}
	}
	return holders[m.member.ID]
}

// isRemover reports whether this entry is the one that removes dead members: the
// first on the roster that holds a lease.
func (m *membership) isRemover(d *control.Document, holders map[string]bool) bool {
	for _, other := range d.Roster {
		if holders[other.ID] {
			return other.ID == m.member.ID
		}
	}
	return false
}

func (m *membership) removeDead(ctx context.Context, other control.Member) {
	_, err := m.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		if !d.HasMember(other.ID) {
			return nil, nil
		}
		return control.RemoveMember(d, other.ID, op, false, m.control.Acked(d.Revision))
	})
	if err != nil {
		m.log.Warn("could not remove a dead entry from the roster; will retry", zap.String("entry", other.ID), zap.Error(err))
		return
	}
	m.log.Info("dead entry removed from the roster", zap.String("entry", other.ID))
}
