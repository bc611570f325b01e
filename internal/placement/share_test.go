package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLoadFades(t *testing.T) {
	var l Load
	l.Add(1000, time.Second)
	must.Eq(t, 1000, l.Value(time.Second))
	must.Between(t, 350, l.Value(3*time.Second), 380)
	l.Add(1000, 3*time.Second)
	must.Between(t, 1350, l.Value(3*time.Second), 1380)
}

// Four dispatchers with the loads 110, 49, 49 and 49 and the same queue in
// proportion: each must come to the same backlog of all.
func TestSharesGiveOneBacklog(t *testing.T) {
	loads := []float64{110, 49, 49, 49}
	for i, own := range loads {
		others := append(append([]float64(nil), loads[:i]...), loads[i+1:]...)
		queue := own * 10
		must.Between(t, 2569, queue/Share(own, others, 0), 2571)
	}
}

func TestShareOfStrangers(t *testing.T) {
	must.Eq(t, 0.25, Share(7, nil, 3), must.Sprint("nothing is known of the others"))
	must.Eq(t, 0.25, Share(0, []float64{0, 0}, 1), must.Sprint("nothing comes"))
	must.Eq(t, 1, Share(7, nil, 0))
	must.Eq(t, minShare, Share(0, []float64{5}, 0))
}
