package failure

import (
	"context"
	"fmt"
	"testing"

	"github.com/pomelosill/pomelosill/test/fleet"
)

// TestCellsTakenOverAfterOwnerKilled runs load on two cells that are owned by
// different entries, with two of the four endpoints each. After the owner of
// cell 0 is killed, the two other entries must own the cells and every job must
// be done.
func TestCellsTakenOverAfterOwnerKilled(t *testing.T) {
	t.Parallel()
	c := fleet.SmallConfig()
	c.Cells = 2
	f := fleet.Start(t, c)
	load := f.StartLoad(t, 8, 6, shortRunTime, f.Entries...)
	awaitOwnerCount(t, f, 2, "")
	load.AwaitMoreJobs(t, 20)
	killed := f.AwaitOwner(t)
	killed.Kill()
	awaitOwnerCount(t, f, 2, killed.PeerAddress)
	load.AwaitMoreJobs(t, 20)
	mustAllSucceed(t, load.Stop())
}

// awaitOwnerCount waits until n different entries own cells, not counting the one
// at the excluded address.
func awaitOwnerCount(t *testing.T, f *fleet.Fleet, n int, excluded string) {
	t.Helper()
	fleet.Eventually(t, "the cells have different owners", func(ctx context.Context) error {
		d, err := f.Document(ctx)
		if err != nil {
			return err
		}
		owners := map[string]bool{}
		for _, cell := range d.Cells {
			if member, ok := d.Member(cell.Owner); ok && member.Address != excluded {
				owners[member.ID] = true
			}
		}
		if len(owners) != n {
			return fmt.Errorf("cells have %d owners", len(owners))
		}
		return nil
	})
}
