// Package report formats the results of scenarios as JSON, one line per
// scenario, and as a text table.
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

// Histograms hold ratios as integers, in thousandths up to maxScaledRatio, to
// three significant digits.
const (
	ratioScale        = 1000
	maxScaledRatio    = 100_000 * ratioScale
	significantDigits = 3
)

// Line is the result of one scenario. A field that the scenario does not
// measure is null.
type Line struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Size     string  `json:"size"`
	Load     float64 `json:"load"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`

	// ResponseRatioP50 and ResponseRatioP99 are percentiles of the response time
	// of a job divided by its response time without any queueing.
	ResponseRatioP50 *float64 `json:"response_ratio_p50"`
	ResponseRatioP99 *float64 `json:"response_ratio_p99"`
	// IdealRatioP50 and IdealRatioP99 are the same percentiles for the simulated
	// ideal queue on the same trace.
	IdealRatioP50 *float64 `json:"ideal_ratio_p50"`
	IdealRatioP99 *float64 `json:"ideal_ratio_p99"`
	// QueueRatioP50 and QueueRatioP99 are the measured percentiles divided by
	// those of the ideal queue.
	QueueRatioP50 *float64 `json:"queue_ratio_p50"`
	QueueRatioP99 *float64 `json:"queue_ratio_p99"`
	// ResponseP50MS and ResponseP99MS are percentiles of the response time in
	// milliseconds.
	ResponseP50MS *float64 `json:"response_p50_ms"`
	ResponseP99MS *float64 `json:"response_p99_ms"`
	// DisturbanceRatioP99 is the 99th percentile of the response times of the
	// observed team's jobs, divided by that of a run of the same jobs without
	// the disturbance.
	DisturbanceRatioP99 *float64 `json:"without_ratio_p99"`

	// WastedPerTask is the number of unnecessary work messages per started task.
	// Necessary are one start and one outcome per task, and one submission and
	// one answer per job.
	WastedPerTask *float64 `json:"wasted_per_task"`
	// ControlPerTask is the number of heartbeats, stamps and exchanges per
	// started task.
	ControlPerTask *float64 `json:"control_per_task"`
	// WorkKept is the work done inside the window for jobs that were answered
	// OK, divided by what the ideal queue does in it with the slots that remain.
	WorkKept *float64 `json:"work_kept"`
	// Goodput is the work done inside the window for jobs that were answered
	// OK, as a fraction of what the slots could do.
	Goodput *float64 `json:"goodput"`
	// TakeoverGapMS is the longest time without any start while a job waited
	// for one.
	TakeoverGapMS    *float64 `json:"takeover_gap_ms"`
	StoreCallsPerSec *float64 `json:"store_calls_per_s"`
	// NetworkMS is the shortest round trip to an endpoint.
	NetworkMS float64 `json:"network_ms"`
	// LateSendP99MS is the 99th percentile of the time by which the client sent
	// jobs later than the trace demands. A high value means that the client was
	// overloaded.
	LateSendP99MS float64  `json:"late_send_p99_ms"`
	StartsPerSec  *float64 `json:"starts_per_s"`

	Jobs          int         `json:"jobs"`
	Tasks         int         `json:"tasks"`
	OK            int         `json:"ok"`
	AnswersByCode []CodeCount `json:"answers_by_code"`
	// DoubleStarts counts the starts beyond the first of each task.
	DoubleStarts int `json:"double_starts"`
	// PartialAnswers counts the answers with code OK in which a task is missing,
	// repeated or failed, plus the tasks of jobs answered OK for which no endpoint
	// recorded a start.
	PartialAnswers int `json:"partial_answers"`
	// ForeignAnswers counts the answers that belong to another job or task.
	ForeignAnswers int `json:"foreign_answers"`
	// FalseNotRun counts the started tasks that were reported as not run.
	FalseNotRun int `json:"false_not_run"`
	// NoAnswer counts the jobs without an answer.
	NoAnswer int `json:"no_answer"`
	// Resubmitted counts the repeated submissions of jobs.
	Resubmitted int             `json:"resubmitted"`
	Wasted      *WastedMessages `json:"wasted,omitempty"`
}

// CodeCount is the number of answers with one result code.
type CodeCount struct {
	Code  result.Code `json:"code"`
	Name  string      `json:"name"`
	Count int         `json:"count"`
}

// WastedMessages counts the messages beyond the necessary ones, by kind.
type WastedMessages struct {
	ExtraStarts       int64 `json:"extra_starts"`
	Refusals          int64 `json:"refusals"`
	DuplicateOutcomes int64 `json:"duplicate_outcomes"`
	LateAnswers       int64 `json:"late_answers"`
	// Relays counts the submissions and answers passed between entries.
	Relays     int64 `json:"relays"`
	Heartbeats int64 `json:"heartbeats"`
	Stamps     int64 `json:"stamps"`
	Exchanges  int64 `json:"exchanges"`
}

// WorkCount returns the number of unnecessary work messages.
func (w WastedMessages) WorkCount() int64 {
	return w.ExtraStarts + w.Refusals + w.DuplicateOutcomes + w.LateAnswers + w.Relays
}

// ControlCount returns the number of control messages.
func (w WastedMessages) ControlCount() int64 { return w.Heartbeats + w.Stamps + w.Exchanges }

// Ratios is a histogram of ratios.
type Ratios struct{ hist *hdr.Histogram }

// NewRatios returns an empty histogram.
func NewRatios() *Ratios { return &Ratios{hist: hdr.New(1, maxScaledRatio, significantDigits)} }

// Add records the ratio of a measured to an ideal duration.
func (r *Ratios) Add(measured, ideal time.Duration) {
	v := int64(float64(measured) / float64(ideal) * ratioScale)
	_ = r.hist.RecordValue(min(max(v, 1), maxScaledRatio))
}

// Percentile returns a percentile of the ratios, or nil if there are none.
func (r *Ratios) Percentile(p float64) *float64 {
	if r.hist.TotalCount() == 0 {
		return nil
	}
	return Ptr(float64(r.hist.ValueAtPercentile(p)) / ratioScale)
}

// Durations is a histogram of durations.
type Durations struct{ hist *hdr.Histogram }

// NewDurations returns an empty histogram. Durations above an hour count as an
// hour.
func NewDurations() *Durations {
	return &Durations{hist: hdr.New(1, time.Hour.Microseconds(), significantDigits)}
}

// Add records a duration.
func (d *Durations) Add(v time.Duration) {
	_ = d.hist.RecordValue(min(max(v.Microseconds(), 1), time.Hour.Microseconds()))
}

// PercentileMS returns a percentile of the durations in milliseconds, or nil if
// there are none.
func (d *Durations) PercentileMS(p float64) *float64 {
	if d.hist.TotalCount() == 0 {
		return nil
	}
	return Ptr(float64(d.hist.ValueAtPercentile(p)) / 1000)
}

// Ptr returns a pointer to v.
func Ptr(v float64) *float64 { return &v }

// Divide returns a divided by b, or nil if either is nil or b is zero.
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

// ReadJSON reads lines until the end of the input.
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
