package audit

import (
	"context"
	"net/http"

	"github.com/pomelosill/pomelosill/internal/load/report"
)

// Counters are the messages that entries have counted since their start.
type Counters struct {
	StartsSent        int64 `json:"starts_sent"`
	OutcomesReceived  int64 `json:"outcomes_received"`
	RefusalsReceived  int64 `json:"refusals_received"`
	RelaysSent        int64 `json:"relays_sent"`
	RelaysReceived    int64 `json:"relays_received"`
	AnswersSent       int64 `json:"answers_sent"`
	DuplicateOutcomes int64 `json:"duplicate_outcomes"`
	LateAnswers       int64 `json:"late_answers"`
	Heartbeats        int64 `json:"heartbeats_received"`
	StampsSent        int64 `json:"stamps_sent"`
	ExchangesSent     int64 `json:"exchanges_sent"`
}

type debugState struct {
	Counters Counters `json:"counters"`
}

// ReadCounters adds up the counters of all entries, given by the URLs of their
// debug pages.
func ReadCounters(ctx context.Context, client *http.Client, entries []string) (Counters, error) {
	var sum Counters
	for _, e := range entries {
		var page debugState
		if err := getJSON(ctx, client, e+"/debug/state", &page); err != nil {
			return sum, err
		}
		sum.add(page.Counters, 1)
	}
	return sum, nil
}

// Since returns the messages counted after an earlier reading.
func (c Counters) Since(earlier Counters) Counters {
	c.add(earlier, -1)
	return c
}

func (c *Counters) add(o Counters, sign int64) {
	c.StartsSent += sign * o.StartsSent
	c.OutcomesReceived += sign * o.OutcomesReceived
	c.RefusalsReceived += sign * o.RefusalsReceived
	c.RelaysSent += sign * o.RelaysSent
	c.RelaysReceived += sign * o.RelaysReceived
	c.AnswersSent += sign * o.AnswersSent
	c.DuplicateOutcomes += sign * o.DuplicateOutcomes
	c.LateAnswers += sign * o.LateAnswers
	c.Heartbeats += sign * o.Heartbeats
	c.StampsSent += sign * o.StampsSent
	c.ExchangesSent += sign * o.ExchangesSent
}

// Wasted tells what went beyond one start for each started task. Each relayed
// submission also brings a relayed answer.
func (c Counters) Wasted(started int) report.WastedMessages {
	return report.WastedMessages{
		ExtraStarts:       max(c.StartsSent-int64(started), 0),
		Refusals:          c.RefusalsReceived,
		DuplicateOutcomes: c.DuplicateOutcomes,
		LateAnswers:       c.LateAnswers,
		Relays:            2 * c.RelaysSent,
		Heartbeats:        c.Heartbeats,
		Stamps:            c.StampsSent,
		Exchanges:         c.ExchangesSent,
	}
}
