// Package report turns measured runs into one JSON line per scenario and a
// table for people.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Ratios are kept in thousandths, up to maxRatio, to three figures.
const (
	ratioScale        = 1000
	maxScaledRatio    = 100_000 * ratioScale
	significantDigits = 3
)

// Line is the result of one scenario. A field that the scenario doesn't
// measure is null.
type Line struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Size     string  `json:"size"`
	Load     float64 `json:"load"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`

	// ResponseRatio is a job's response over that without any waiting.
	ResponseRatioP50 *float64 `json:"response_ratio_p50"`
	ResponseRatioP99 *float64 `json:"response_ratio_p99"`
	// IdealRatio is the same of the omniscient queue on the same trace.
	IdealRatioP50 *float64 `json:"ideal_ratio_p50"`
	IdealRatioP99 *float64 `json:"ideal_ratio_p99"`
	// QueueRatio is the measured percentile over the omniscient queue's.
	QueueRatioP50 *float64 `json:"queue_ratio_p50"`
	QueueRatioP99 *float64 `json:"queue_ratio_p99"`
	// ResponseP99MS is in milliseconds.
	ResponseP50MS *float64 `json:"response_p50_ms"`
	ResponseP99MS *float64 `json:"response_p99_ms"`
	// DisturbanceRatioP99 is the p99 response of the observed team's jobs over
	// that of a run of the same jobs without the disturbance.
	DisturbanceRatioP99 *float64 `json:"without_ratio_p99"`

	// WastedPerTask counts work messages beyond one start and one outcome a
	// task and one submission and one answer a job.
	WastedPerTask *float64 `json:"wasted_per_task"`
	// ControlPerTask counts heartbeats, stamps and exchanges.
	ControlPerTask *float64 `json:"control_per_task"`
	// WorkKept is the work done inside the window over what the omniscient
	// queue does in it with the slots that remain.
	WorkKept *float64 `json:"work_kept"`
	// Goodput is the work of jobs answered OK done inside the window, as a
	// share of the slots.
	Goodput *float64 `json:"goodput"`
	// TakeoverGapMS is the longest time without any start while work waited.
	TakeoverGapMS    *float64 `json:"takeover_gap_ms"`
	StoreCallsPerSec *float64 `json:"store_calls_per_s"`
	NetworkMS        float64  `json:"network_ms"`
	LateSendP99MS    float64  `json:"late_send_p99_ms"`
	StartsPerSec     *float64 `json:"starts_per_s"`

	Jobs           int             `json:"jobs"`
	Tasks          int             `json:"tasks"`
	OK             int             `json:"ok"`
	AnswersByCode  []CodeCount     `json:"answers_by_code"`
	DoubleStarts   int             `json:"double_starts"`
	PartialAnswers int             `json:"partial_answers"`
	ForeignAnswers int             `json:"foreign_answers"`
	FalseNotRun    int             `json:"false_not_run"`
	NoAnswer       int             `json:"no_answer"`
	Resubmitted    int             `json:"resubmitted"`
	Wasted         *WastedMessages `json:"wasted,omitempty"`
}

// CodeCount counts the answers with one code.
type CodeCount struct {
	Code  result.Code `json:"code"`
	Name  string      `json:"name"`
	Count int         `json:"count"`
}

// WastedMessages counts messages beyond the necessary ones, by kind.
type WastedMessages struct {
	ExtraStarts       int64 `json:"extra_starts"`
	Refusals          int64 `json:"refusals"`
	DuplicateOutcomes int64 `json:"duplicate_outcomes"`
	LateAnswers       int64 `json:"late_answers"`
	// Relays are submissions and answers between entries.
	Relays     int64 `json:"relays"`
	Heartbeats int64 `json:"heartbeats"`
	Stamps     int64 `json:"stamps"`
	Exchanges  int64 `json:"exchanges"`
}

// WorkCount is the number of wasted work messages.
func (w WastedMessages) WorkCount() int64 {
	return w.ExtraStarts + w.Refusals + w.DuplicateOutcomes + w.LateAnswers + w.Relays
}

// ControlCount is the number of control messages.
func (w WastedMessages) ControlCount() int64 { return w.Heartbeats + w.Stamps + w.Exchanges }

// Ratios collects ratios.
type Ratios struct{ h *hdr.Histogram }

// NewRatios returns an empty collection.
func NewRatios() *Ratios { return &Ratios{h: hdr.New(1, maxScaledRatio, significantDigits)} }

// Add records measured over ideal.
func (r *Ratios) Add(measured, ideal time.Duration) {
	v := int64(float64(measured) / float64(ideal) * ratioScale)
	_ = r.h.RecordValue(min(max(v, 1), maxScaledRatio))
}

// Percentile returns nil when nothing was recorded.
func (r *Ratios) Percentile(p float64) *float64 {
	if r.h.TotalCount() == 0 {
		return nil
	}
	return Ptr(float64(r.h.ValueAtPercentile(p)) / ratioScale)
}

// Durations collects durations.
type Durations struct{ h *hdr.Histogram }

// NewDurations returns an empty collection for up to an hour.
func NewDurations() *Durations {
	return &Durations{h: hdr.New(1, time.Hour.Microseconds(), significantDigits)}
}

// Add records a duration.
func (t *Durations) Add(d time.Duration) {
	_ = t.h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds()))
}

// PercentileMS is in milliseconds, nil when nothing was recorded.
func (t *Durations) PercentileMS(p float64) *float64 {
	if t.h.TotalCount() == 0 {
		return nil
	}
	return Ptr(float64(t.h.ValueAtPercentile(p)) / 1000)
}

// Ptr returns a pointer to v.
func Ptr(v float64) *float64 { return &v }

// Divide returns a over b, nil where either is missing or b is zero.
func Divide(a, b *float64) *float64 {
	if a == nil || b == nil || *b == 0 {
		return nil
	}
	return Ptr(*a / *b)
}

// WriteJSON writes the line as one line of JSON.
func WriteJSON(w io.Writer, l Line) error {
	return json.NewEncoder(w).Encode(l)
}

// ReadJSON reads lines until the end.
func ReadJSON(r io.Reader) ([]Line, error) {
	var lines []Line
	dec := json.NewDecoder(r)
	for {
		var l Line
		err := dec.Decode(&l)
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return nil, err
		}
		lines = append(lines, l)
	}
}

const tableHeader = "scenario\tpolicy\tsize\tload\tjobs\tok\tratio p50\tp99\tideal p50\tp99\tqueue p50\tp99\twithout p99\twasted\tcontrol\tkept\tgoodput\tgap ms\tstore/s\tdouble\tpartial\tforeign\tfalse not run\tno answer"

// WriteTable writes the lines as a table.
func WriteTable(w io.Writer, lines []Line) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	text := tableHeader + "\t\n"
	for _, l := range lines {
		text += l.tableRow()
	}
	if _, err := io.WriteString(t, text); err != nil {
		return err
	}
	return t.Flush()
}

func (l Line) tableRow() string {
	row := fmt.Sprintf("%s\t%s\t%s\t%g\t%d\t%d\t", l.Scenario, l.Policy, l.Size, l.Load, l.Jobs, l.OK)
	for _, v := range l.tableValues() {
		row += formatValue(v) + "\t"
	}
	return row + fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t\n", l.DoubleStarts, l.PartialAnswers, l.ForeignAnswers, l.FalseNotRun, l.NoAnswer)
}

func (l Line) tableValues() []*float64 {
	return []*float64{
		l.ResponseRatioP50, l.ResponseRatioP99,
		l.IdealRatioP50, l.IdealRatioP99,
		l.QueueRatioP50, l.QueueRatioP99,
		l.DisturbanceRatioP99,
		l.WastedPerTask, l.ControlPerTask,
		l.WorkKept, l.Goodput,
		l.TakeoverGapMS, l.StoreCallsPerSec,
	}
}

func formatValue(v *float64) string {
	if v == nil {
		return "-"
	}
	return strconv.FormatFloat(*v, 'f', 3, 64)
}
