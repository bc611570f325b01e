package failure

import (
	"context"
	"fmt"
	"testing"

	"github.com/pomelosill/pomelosill/test/fleet"
)

// TestSeveralCells spreads two cells over the entries under load, kills the
// owner of one, and expects the other entries to own both and every job done.
// Of the four endpoints each cell has two.
func TestSeveralCells(t *testing.T) {
	t.Parallel()
	c := fleet.SmallConfig()
	c.Cells = 2
	f := fleet.Start(t, c)
	load := f.StartLoad(t, 8, 6, shortRunTime, f.Entries...)
	awaitOwnerCount(t, f, 2, "")
	load.AwaitMoreJobs(t, 20)
	dead := f.AwaitOwner(t)
	dead.Kill()
	awaitOwnerCount(t, f, 2, dead.PeerAddress)
	load.AwaitMoreJobs(t, 20)
	mustAllSucceed(t, load.Stop())
}

// awaitOwnerCount waits until n different entries own cells, none of them at the
// address given.
func awaitOwnerCount(t *testing.T, f *fleet.Fleet, n int, not string) {
	t.Helper()
	fleet.Eventually(t, "the cells are spread", func(ctx context.Context) error {
		d, err := f.Document(ctx)
		if err != nil {
			return err
		}
		owners := map[string]bool{}
		for _, cell := range d.Cells {
			if m, ok := d.Member(cell.Owner); ok && m.Address != not {
				owners[m.ID] = true
			}
		}
		if len(owners) != n {
			return fmt.Errorf("%d owners", len(owners))
		}
		return nil
	})
}
