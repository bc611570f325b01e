// Package access decides who a request comes from and what it may do, and
// bounds what one request may cost. The callers' and the operators' API share
// it.
package access

import (
	"encoding/json"
	"fmt"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// MinTokenBytes is the shortest token that settings may hold.
const MinTokenBytes = 16

// Role is what a token's holder may do.
type Role string

// The roles.
const (
	// Operator may see and change everything.
	Operator Role = "operator"
	// Caller may submit, see and cancel the jobs of one team.
	Caller Role = "caller"
)

// Secret is text that is never printed, logged or written as JSON.
type Secret string

const redacted = "[redacted]"

// String hides the secret.
func (Secret) String() string { return redacted }

// GoString hides the secret from %#v.
func (Secret) GoString() string { return redacted }

// MarshalJSON hides the secret from dumps and logs.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// Token is one entry of the settings' list of tokens.
type Token struct {
	// Name is who the audit says it was; it is unique.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Team is the caller's team, empty for an operator.
	Team string `json:"team,omitempty"`
	// Token is what the holder sends as "Authorization: Bearer <token>".
	Token Secret `json:"token"`
}

// Tokens is the list of tokens in the settings of an entry. An empty list
// leaves access open.
type Tokens []Token

// Validate returns an error of settings.BadValue that names the token and the
// field, under the name "tokens" that the list has in the settings. It never
// quotes a token.
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
