package audit

import (
	"context"
	"net/http"

	"github.com/pomelosill/pomelosill/internal/load/report"
)

// Counters holds the numbers of messages that entries have counted since their
// start.
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

// debugState is the part of an entry's debug state that is read.
type debugState struct {
	Counters Counters `json:"counters"`
}

// ReadCounters returns the sum of the counters of all entries, read from their
// debug pages at the given URLs.
func ReadCounters(ctx context.Context, client *http.Client, entries []string) (Counters, error) {
	var sum Counters
	for _, e := range entries {
		var state debugState
		if err := getJSON(ctx, client, e+"/debug/state", &state); err != nil {
			return sum, err
		}
		sum.add(state.Counters, 1)
	}
	return sum, nil
}

// Since returns what was counted since an earlier reading.
func (c Counters) Since(earlier Counters) Counters {
	c.add(earlier, -1)
	return c
}

func (c *Counters) add(other Counters, sign int64) {
	c.StartsSent += sign * other.StartsSent
	c.OutcomesReceived += sign * other.OutcomesReceived
	c.RefusalsReceived += sign * other.RefusalsReceived
	c.RelaysSent += sign * other.RelaysSent
	c.RelaysReceived += sign * other.RelaysReceived
	c.AnswersSent += sign * other.AnswersSent
	c.DuplicateOutcomes += sign * other.DuplicateOutcomes
	c.LateAnswers += sign * other.LateAnswers
	c.Heartbeats += sign * other.Heartbeats
	c.StampsSent += sign * other.StampsSent
	c.ExchangesSent += sign * other.ExchangesSent
}

// Wasted returns the messages beyond the necessary ones, given the number of
// started tasks, each of which needs one start message. Every relayed submission
// counts twice, because its answer is relayed as well.
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
