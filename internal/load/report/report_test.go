package report

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRatiosPercentile(t *testing.T) {
	r := NewRatios()
	must.Nil(t, r.Percentile(50))
	for i := range 100 {
		r.Add(time.Duration(i+1)*time.Second, 10*time.Second)
	}
	must.InDelta(t, 5, *r.Percentile(50), 0.01)
	must.InDelta(t, 9.9, *r.Percentile(99), 0.02)
}

func TestDivideReturnsNilForNilOperandOrZeroDivisor(t *testing.T) {
	must.Nil(t, Divide(nil, Ptr(1)))
	must.Nil(t, Divide(Ptr(1), Ptr(0)))
	must.Eq(t, 2, *Divide(Ptr(4), Ptr(2)))
}

func TestLineWithNullFieldsRoundTripsThroughJSON(t *testing.T) {
	line := Line{Scenario: "steady", Policy: "product", Size: "umbral", ResponseRatioP99: Ptr(1.5)}
	var text bytes.Buffer
	must.NoError(t, WriteJSON(&text, line))
	must.StrContains(t, text.String(), `"takeover_gap_ms":null`)
	lines, err := ReadJSON(&text)
	must.NoError(t, err)
	must.Eq(t, []Line{line}, lines)
	must.NoError(t, WriteTable(&text, lines))
	must.StrContains(t, text.String(), "1.500")
}
