package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLoadDecays(t *testing.T) {
	var l Load
	l.Add(1000, time.Second)
	must.Eq(t, 1000, l.Value(time.Second))
	must.Between(t, 350, l.Value(3*time.Second), 380)
	l.Add(1000, 3*time.Second)
	must.Between(t, 1350, l.Value(3*time.Second), 1380)
}

// Four dispatchers with loads of 110, 49, 49 and 49, and queues in proportion,
// must each estimate the same total backlog.
func TestSharesGiveEqualBacklogEstimates(t *testing.T) {
	loads := []float64{110, 49, 49, 49}
	for i, own := range loads {
		others := -own
		for _, load := range loads {
			others += load
		}
		queue := own * 10
		must.Between(t, 2569, queue/Share(own, others), 2571, must.Sprint(i))
	}
}

func TestShareWithoutLoad(t *testing.T) {
	must.Eq(t, 1, Share(0, 0), must.Sprint("no work arrives"))
	must.Eq(t, 1, Share(7, 0))
	must.Eq(t, minShare, Share(0, 5))
}
