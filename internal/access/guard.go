package access

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Identity is the sender of a request.
type Identity struct {
	Name string
	Role Role
	// Team is empty for an operator.
	Team string
}

// anonymous is the identity of every sender while no tokens are configured.
var anonymous = Identity{Name: "anonymous", Role: Operator}

// CheckTeam returns an error with the code Forbidden unless the identity may see,
// submit and cancel the team's jobs.
func (id Identity) CheckTeam(team string) error {
	if id.Role == Operator || (id.Role == Caller && id.Team == team) {
		return nil
	}
	return result.Errorf(result.Forbidden, "%s may only use team %s", id.Name, id.Team)
}

// Guard authenticates requests by their tokens. It is safe for concurrent use.
type Guard struct {
	credentials []credential
}

// credential is the hash of a token and the identity of its holder. Hashes have
// the same length, so that the time of a comparison does not reveal the length
// of the token.
type credential struct {
	hash     [sha256.Size]byte
	identity Identity
}

// NewGuard returns a guard for validated tokens. Without tokens it lets every
// request through as an operator, and logs a warning once.
func NewGuard(tokens Tokens, log *zap.Logger) *Guard {
	if len(tokens) == 0 {
		process.WithLogPrefix(log, "access").Warn("no tokens configured: every request is accepted as an operator's")
	}
	g := &Guard{}
	for _, t := range tokens {
		id := Identity{Name: t.Name, Role: t.Role, Team: t.Team}
		g.credentials = append(g.credentials, credential{hash: sha256.Sum256([]byte(t.Token)), identity: id})
	}
	return g
}

// Identify returns the identity that belongs to the request's token. Its error
// has the code Unauthorized.
func (g *Guard) Identify(r *http.Request) (Identity, error) {
	if len(g.credentials) == 0 {
		return anonymous, nil
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return Identity{}, result.Errorf(result.Unauthorized, "the request has no header Authorization: Bearer TOKEN")
	}
	id, ok := g.authenticate(strings.TrimSpace(token))
	if !ok {
		return Identity{}, result.Errorf(result.Unauthorized, "the token is unknown")
	}
	return id, nil
}

// authenticate returns the identity for a token. It compares the token with every
// credential, so that its time does not reveal which one matched.
func (g *Guard) authenticate(token string) (Identity, bool) {
	hash := sha256.Sum256([]byte(token))
	match := -1
	for i, c := range g.credentials {
		equal := subtle.ConstantTimeCompare(hash[:], c.hash[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return Identity{}, false
	}
	return g.credentials[match].identity, true
}

type identityKey struct{}

// Require returns a handler that calls next for requests with a known token, with
// the identity in the request's context, and refuse for all others.
func (g *Guard) Require(next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := g.Identify(r)
		if err != nil {
			refuse(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(WithIdentity(r.Context(), id)))
	})
}

// RequireOperator is like Require, but also calls refuse, with the code Forbidden,
// for identities that are not operators.
func (g *Guard) RequireOperator(next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return g.Require(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := IdentityFrom(r.Context()); id.Role != Operator {
			refuse(w, result.Errorf(result.Forbidden, "%s is not an operator", id.Name))
			return
		}
		next.ServeHTTP(w, r)
	}), refuse)
}

// WithIdentity returns a context that carries id.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, id)
}

// IdentityFrom returns the identity that Require put into ctx, or the zero
// Identity, which may use no team.
func IdentityFrom(ctx context.Context) Identity {
	id, _ := ctx.Value(identityKey{}).(Identity)
	return id
}
