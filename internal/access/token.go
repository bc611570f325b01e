// Package access authenticates and authorizes requests, and limits the size and
// duration of a request. The APIs for callers and for operators share it.
package access

import (
	"encoding/json"
	"fmt"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// MinTokenBytes is the minimum length of a token in the settings.
const MinTokenBytes = 16

// Role defines what the holder of a token may do.
type Role string

// The roles.
const (
	// Operator may see and change everything.
	Operator Role = "operator"
	// Caller may submit, see and cancel the jobs of one team.
	Caller Role = "caller"
)

// Secret is text that is redacted when it is printed, logged or encoded as JSON.
type Secret string

const redacted = "[redacted]"

// String returns a placeholder instead of the secret.
func (Secret) String() string { return redacted }

// GoString returns a placeholder instead of the secret, for %#v.
func (Secret) GoString() string { return redacted }

// MarshalJSON returns a placeholder instead of the secret, for state dumps and
// logs.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// Token is one element of the list of tokens in the settings.
type Token struct {
	// Name identifies the holder in audit records. It is unique.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Team is the caller's team, empty for an operator.
	Team string `json:"team,omitempty"`
	// Token is the secret that the holder sends as "Authorization: Bearer <token>".
	Token Secret `json:"token"`
}

// Tokens is the list of tokens in the settings of an entry. With an empty list
// requests need no token.
type Tokens []Token

// Validate returns an error of settings.BadValue with the path of the invalid
// field, such as "tokens[0].name". The error never contains a token.
func (ts Tokens) Validate() error {
	names := map[string]bool{}
	secrets := map[Secret]bool{}
	for i, t := range ts {
		if err := t.validate(i); err != nil {
			return err
		}
		if names[t.Name] {
			return badToken(i, "name", "is used twice")
		}
		if secrets[t.Token] {
			return badToken(i, "token", "is used twice")
		}
		names[t.Name] = true
		secrets[t.Token] = true
	}
	return nil
}

func (t Token) validate(i int) error {
	switch {
	case t.Name == "":
		return badToken(i, "name", "is empty")
	case t.Role != Operator && t.Role != Caller:
		return badToken(i, "role", `must be "operator" or "caller"`)
	case t.Role == Caller && t.Team == "":
		return badToken(i, "team", "is empty for a caller")
	case t.Role == Operator && t.Team != "":
		return badToken(i, "team", "is set for an operator")
	case len(t.Token) < MinTokenBytes:
		return badToken(i, "token", "is too short")
	}
	return nil
}

func badToken(i int, field, reason string) error {
	return settings.BadValue(fmt.Sprintf("tokens[%d].%s", i, field), reason)
}
