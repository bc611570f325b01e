package entry

import (
	"context"

	"connectrpc.com/connect"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// sendLocationUpdates sends the agent the addresses to attach to, and sends
// them again whenever they change.
func (a *agentRegistry) sendLocationUpdates(ctx context.Context, st *agentStream) {
	sentKey := ""
	for {
		changed := a.control.DocumentChanged()
		loc := locationOf(a.control.Document(), st.hello.GetCell())
		if key := locationKey(loc); key != sentKey {
			sentKey = key
			st.out.Put(&pb.OwnerFrame{Location: loc})
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func locationKey(l *pb.Location) string {
	key := l.GetOwner() + " " + l.GetDeputy()
	for _, a := range l.GetEntries() {
		key += " " + a
	}
	return key
}

// locationOf returns the addresses that agents of a cell attach to.
func locationOf(d *control.Document, n uint32) *pb.Location {
	loc := &pb.Location{Cell: n}
	if d == nil || int(n) >= len(d.Cells) {
		return loc
	}
	loc.ControlRevision = d.Revision
	if m, ok := d.Member(d.Cells[n].Owner); ok {
		loc.Owner = m.Address
	}
	if m, ok := d.Member(d.Cells[n].Deputy); ok {
		loc.Deputy = m.Address
	}
	for _, m := range d.Roster {
		loc.Entries = append(loc.Entries, m.Address)
	}
	return loc
}

// Locate returns the addresses that an agent attaches to. Agents call it before
// they have a stream.
func (e *Entry) Locate(_ context.Context, req *connect.Request[pb.LocateRequest]) (*connect.Response[pb.Location], error) {
	d := e.control.Document()
	if d == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoDocument)
	}
	n := control.CellOfEndpoint(req.Msg.GetEndpoint(), len(d.Cells))
	return connect.NewResponse(locationOf(d, uint32(n))), nil
}
