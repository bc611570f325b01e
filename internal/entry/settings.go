package entry

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pomelosill/pomelosill/internal/access"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/sched"
	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings are an entry's settings.
type Settings struct {
	// Listen is the callers' address, Peer the address for agents and other
	// entries, Admin the operators' address; each is IP:port.
	Listen string `json:"listen"`
	Peer   string `json:"peer"`
	Admin  string `json:"admin"`
	// FailureDomain is the failure domain of the entry's host.
	FailureDomain string `json:"failure_domain"`
	// StoreURL is the base URL of the platform's store.
	StoreURL string `json:"store"`
	// Cells is the number of cells. It applies only when the system's first
	// entry creates the control document.
	Cells int `json:"cells"`
	// FailureDomains are failure domains to list and to accept in commands even
	// if no endpoint has announced them.
	FailureDomains []string `json:"failure_domains"`
	// Freshness is how long after a confirmation an entry may act on it.
	Freshness settings.Duration `json:"freshness"`
	// ConfirmInterval is the time between two reads that confirm the control
	// document.
	ConfirmInterval settings.Duration `json:"confirm"`
	// LeaseTTL is how long an entry's lease in the store outlives its last
	// renewal. SuspectAfter is how long an entry may fail to answer its peers
	// before they consider it dead.
	LeaseTTL     settings.Duration `json:"lease_ttl"`
	SuspectAfter settings.Duration `json:"suspect_after"`
	// StoreTimeout bounds one call to the store.
	StoreTimeout settings.Duration `json:"store_timeout"`
	// IDRetention is how long submission ids are kept.
	IDRetention settings.Duration `json:"id_retention"`
	// AnswerRetention is how long the answers to ended jobs are kept.
	AnswerRetention settings.Duration `json:"answer_retention"`
	// MaxAnswerBytes bounds the answers that one cell keeps.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// ClockSkew is the maximum difference between the clocks of two hosts.
	ClockSkew settings.Duration `json:"clock_skew"`
	// LostAfter is how long an agent may be detached until the outcomes of its
	// tasks are reported as unknown.
	LostAfter settings.Duration `json:"lost_after"`
	// MaxTimeout is the longest timeout that a caller may set for a job.
	MaxTimeout settings.Duration `json:"max_timeout"`
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// DrainDelay is how long new callers are still served during a shutdown,
	// while /ready makes the load balancer route them to other entries.
	DrainDelay settings.Duration `json:"drain_delay"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout settings.Duration `json:"drain_timeout"`
	// DefaultTeams are the teams in the first control document.
	DefaultTeams []TeamSettings `json:"default_teams"`
	// Tokens are the operators' and callers' tokens. Without any, requests need
	// no token.
	Tokens access.Tokens `json:"tokens"`
	// MaxWaiting is the maximum number of waiting tasks in one cell.
	MaxWaiting int    `json:"max_waiting"`
	LogLevel   string `json:"log_level"`
}

// TeamSettings is a team in the first control document.
type TeamSettings struct {
	Name       string `json:"name"`
	Weight     int    `json:"weight"`
	MaxRunning int    `json:"max_running"`
	MaxQueued  int    `json:"max_queued"`
}

// DefaultSettings returns the defaults. Only the addresses, the failure domain
// and the store have none.
func DefaultSettings() *Settings {
	return &Settings{
		Cells:           1,
		Freshness:       settings.Duration(3 * time.Second),
		ConfirmInterval: settings.Duration(time.Second),
		LeaseTTL:        settings.Duration(3 * time.Second),
		SuspectAfter:    settings.Duration(time.Second),
		StoreTimeout:    settings.Duration(time.Second),
		IDRetention:     settings.Duration(10 * time.Minute),
		AnswerRetention: settings.Duration(time.Minute),
		MaxAnswerBytes:  64 << 20,
		ClockSkew:       settings.Duration(time.Second),
		LostAfter:       settings.Duration(5 * time.Second),
		MaxTimeout:      settings.Duration(5 * time.Minute),
		MaxBodyBytes:    4 << 20,
		DrainDelay:      settings.Duration(time.Second),
		DrainTimeout:    settings.Duration(30 * time.Second),
		MaxWaiting:      sched.DefaultConfig().MaxWaiting,
		LogLevel:        "info",
	}
}

// firstTeams returns the teams in the first control document, in its order.
func (s *Settings) firstTeams() []control.Team {
	var teams []control.Team
	for _, t := range s.DefaultTeams {
		teams = append(teams, control.Team{Name: t.Name, Weight: t.Weight, MaxRunning: t.MaxRunning, MaxQueued: t.MaxQueued})
	}
	slices.SortFunc(teams, func(a, b control.Team) int { return cmp.Compare(a.Name, b.Name) })
	return teams
}

// Validate checks every setting. Its error contains the field and the reason.
func (s *Settings) Validate() error {
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if err := s.validateTimes(); err != nil {
		return err
	}
	if s.FailureDomain == "" {
		return badValue("failure_domain", "must not be empty")
	}
	if s.Cells < 1 || s.Cells > 1024 {
		return badValue("cells", "must be from 1 to 1024")
	}
	if s.MaxBodyBytes < 1<<10 {
		return badValue("max_body_bytes", "must be at least 1024")
	}
	if s.MaxAnswerBytes < 1 {
		return badValue("max_answer_bytes", "must be at least 1")
	}
	if s.MaxWaiting < 1 {
		return badValue("max_waiting", "must be at least 1")
	}
	return s.Tokens.Validate()
}

func (s *Settings) validateAddresses() error {
	for _, a := range []struct{ field, value string }{
		{"listen", s.Listen}, {"peer", s.Peer}, {"admin", s.Admin},
	} {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return badValue(a.field, "must be IP:port")
		}
	}
	if !strings.HasPrefix(s.StoreURL, "http://") && !strings.HasPrefix(s.StoreURL, "https://") {
		return badValue("store", "must be an http or https URL")
	}
	return nil
}

func (s *Settings) validateTimes() error {
	for _, d := range []struct {
		field string
		value settings.Duration
	}{
		{"freshness", s.Freshness}, {"confirm", s.ConfirmInterval}, {"lease_ttl", s.LeaseTTL},
		{"suspect_after", s.SuspectAfter}, {"store_timeout", s.StoreTimeout},
		{"id_retention", s.IDRetention}, {"answer_retention", s.AnswerRetention},
		{"clock_skew", s.ClockSkew}, {"lost_after", s.LostAfter},
		{"max_timeout", s.MaxTimeout}, {"drain_delay", s.DrainDelay}, {"drain_timeout", s.DrainTimeout},
	} {
		if d.value <= 0 {
			return badValue(d.field, "must be a positive duration")
		}
	}
	if 2*s.ConfirmInterval > s.Freshness {
		return badValue("confirm", "must be at most half of freshness")
	}
	if s.LostAfter < s.Freshness {
		// A takeover does not wait for a lost agent, so a lost agent must no
		// longer be able to start work under its last stamp.
		return badValue("lost_after", "must be at least freshness")
	}
	if s.AnswerRetention > s.IDRetention {
		return badValue("answer_retention", "must not exceed id_retention")
	}
	if s.MaxTimeout > s.IDRetention {
		return badValue("max_timeout", "must not exceed id_retention")
	}
	return nil
}

func badValue(field, reason string) error {
	return settings.BadValue(field, reason)
}
