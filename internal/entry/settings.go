package entry

import (
	"net"
	"strings"
	"time"

	"github.com/pomelosill/pomelosill/internal/access"
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
	// FailureDomain is where the entry's host is.
	FailureDomain string `json:"failure_domain"`
	// StoreURL is the base URL of the platform's store.
	StoreURL string `json:"store"`
	// Cells is the number of cells made at the first start of all.
	Cells int `json:"cells"`
	// FailureDomains, when given, are the only names that operators may use.
	FailureDomains []string `json:"failure_domains"`
	// Freshness is how long an entry may act on a confirmation.
	Freshness settings.Duration `json:"freshness"`
	// ConfirmInterval is the time between two confirmations.
	ConfirmInterval settings.Duration `json:"confirm"`
	// LeaseTTL is the time after which a silent entry counts as dead in the
	// store; SuspectAfter is the same for its peers' own view.
	LeaseTTL     settings.Duration `json:"lease_ttl"`
	SuspectAfter settings.Duration `json:"suspect_after"`
	// StoreTimeout bounds one call to the store.
	StoreTimeout settings.Duration `json:"store_timeout"`
	// IDRetention is how long submission ids are remembered.
	IDRetention settings.Duration `json:"id_retention"`
	// AnswerRetention is how long whole answers are held.
	AnswerRetention settings.Duration `json:"answer_retention"`
	// MaxAnswerBytes bounds the whole answers that one cell holds.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// ClockSkew bounds the difference between two hosts' clocks.
	ClockSkew settings.Duration `json:"clock_skew"`
	// LostAfter is how long an agent may be away until outcomes are unknown.
	LostAfter settings.Duration `json:"lost_after"`
	// MaxTimeout bounds the deadline a caller may ask for.
	MaxTimeout settings.Duration `json:"max_timeout"`
	// MaxBodyBytes bounds a caller's request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// DrainDelay is how long a shutdown goes on serving new callers while
	// /ready tells the balancer to send them elsewhere.
	DrainDelay settings.Duration `json:"drain_delay"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout settings.Duration `json:"drain_timeout"`
	// DefaultTeams are made at the first start of all.
	DefaultTeams []TeamSettings `json:"default_teams"`
	// Tokens are the operators' and callers' tokens; access is open without
	// any.
	Tokens access.Tokens `json:"tokens"`
	// MaxWaiting bounds the waiting tasks of one cell.
	MaxWaiting int    `json:"max_waiting"`
	LogLevel   string `json:"log_level"`
}

// TeamSettings is a team made at the first start of all.
type TeamSettings struct {
	Name       string `json:"name"`
	Weight     int    `json:"weight"`
	MaxRunning int    `json:"max_running"`
	MaxQueued  int    `json:"max_queued"`
}

// DefaultSettings returns settings that lack only addresses, the failure
// domain and the store.
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

// Validate checks every setting; its error names the field and the reason.
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
		// A lost agent is not waited for at a takeover: it must not be able
		// to start anything.
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
