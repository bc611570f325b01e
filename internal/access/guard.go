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

// Identity is who a request comes from.
type Identity struct {
	Name string
	Role Role
	// Team is empty for an operator.
	Team string
}

// anonymous is everybody while no tokens are configured.
var anonymous = Identity{Name: "anonymous", Role: Operator}

// CheckTeam returns an error with code Forbidden unless the identity may see,
// submit and cancel the team's jobs.
func (id Identity) CheckTeam(team string) error {
	if id.Role == Operator || (id.Role == Caller && id.Team == team) {
		return nil
	}
	return result.Errorf(result.Forbidden, "%s may use team %s only", id.Name, id.Team)
}

// Guard checks the tokens of requests. It is safe for concurrent use.
type Guard struct {
	credentials []credential
}

// credential is a token by its hash, so that the time of a comparison tells
// nothing about the token's length.
type credential struct {
	hash     [sha256.Size]byte
	identity Identity
}

// NewGuard prepares a guard from validated tokens. Without tokens access is
// open, and the log says so once.
func NewGuard(tokens Tokens, log *zap.Logger) *Guard {
	if len(tokens) == 0 {
		process.WithLogPrefix(log, "access").Warn("no tokens configured, access is open")
	}
	g := &Guard{}
	for _, t := range tokens {
		id := Identity{Name: t.Name, Role: t.Role, Team: t.Team}
		g.credentials = append(g.credentials, credential{hash: sha256.Sum256([]byte(t.Token)), identity: id})
	}
	return g
}

// Identify returns whose token the request carries. Its error has the code
// Unauthorized.
func (g *Guard) Identify(r *http.Request) (Identity, error) {
	if len(g.credentials) == 0 {
		return anonymous, nil
	}
	scheme, presented, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return Identity{}, result.Errorf(result.Unauthorized, "send the header Authorization: Bearer TOKEN")
	}
	id, ok := g.authenticate(strings.TrimSpace(presented))
	if !ok {
		return Identity{}, result.Errorf(result.Unauthorized, "the token is unknown")
	}
	return id, nil
}

// authenticate compares with every holder, so that its time doesn't tell which one
// matched.
func (g *Guard) authenticate(presented string) (Identity, bool) {
	hash := sha256.Sum256([]byte(presented))
	match := -1
	for i, h := range g.credentials {
		equal := subtle.ConstantTimeCompare(hash[:], h.hash[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return Identity{}, false
	}
	return g.credentials[match].identity, true
}

type identityKey struct{}

// Require lets a request through to next only with a known token, and keeps
// its identity in the request's context. Others get refuse's answer.
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

// RequireOperator is Require for operators only; refuse gets Forbidden for
// others.
func (g *Guard) RequireOperator(next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return g.Require(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := IdentityFrom(r.Context()); id.Role != Operator {
			refuse(w, result.Errorf(result.Forbidden, "%s is no operator", id.Name))
			return
		}
		next.ServeHTTP(w, r)
	}), refuse)
}

// WithIdentity returns a context that carries id.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, id)
}

// IdentityFrom returns the identity that Require put into ctx. Without one it returns
// the zero Identity, which may use no team.
func IdentityFrom(ctx context.Context) Identity {
	id, _ := ctx.Value(identityKey{}).(Identity)
	return id
}
