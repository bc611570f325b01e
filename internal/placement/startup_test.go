package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCapacityKnown(t *testing.T) {
	must.False(t, CapacityKnown(0, 0, 0), must.Sprint("the directory is not known yet"))
	must.False(t, CapacityKnown(2, 11, 40*ms), must.Sprint("most runners are not connected yet"))
	must.True(t, CapacityKnown(9, 11, 40*ms))
	must.True(t, CapacityKnown(0, 11, time.Second), must.Sprint("no job waits for runners that are gone"))
}
