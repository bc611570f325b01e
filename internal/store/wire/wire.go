// Package wire holds the JSON that the HTTP adapter of the store and the
// stand-in platform exchange: one POST path per kind of call, always answered
// with a Response that carries a result code.
package wire

import "github.com/pomelosill/pomelosill/internal/result"

// ClientHeader names the calling process, so that a fault may hit it alone.
const ClientHeader = "Pomelosill-Client"

// Kind is a kind of call.
type Kind string

// The kinds of calls.
const (
	Get            Kind = "get"
	CompareAndSwap Kind = "compare-and-swap"
	Delete         Kind = "delete"
	Grant          Kind = "grant"
	KeepAlive      Kind = "keep-alive"
	Revoke         Kind = "revoke"
	Watch          Kind = "watch"
)

// Kinds lists every kind.
func Kinds() []Kind {
	return []Kind{Get, CompareAndSwap, Delete, Grant, KeepAlive, Revoke, Watch}
}

// Path is the URL path of a kind of call.
func (k Kind) Path() string { return "/v1/" + string(k) }

// IsWrite tells whether a call of this kind changes the store.
func (k Kind) IsWrite() bool { return k != Get && k != Watch }

// Request is the body of every call; each kind reads only its own fields.
type Request struct {
	Key    string `json:"key,omitempty"`
	Expect uint64 `json:"expect,omitempty"`
	Value  []byte `json:"value,omitempty"`
	Lease  uint64 `json:"lease,omitempty"`
	// TTLMS is the time to live of a new lease in milliseconds.
	TTLMS  int64  `json:"ttl_ms,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// After is the revision that the caller knows: a watch answers with what
	// is newer, a get leaves out the value of what is not.
	After uint64 `json:"after,omitempty"`
	// WaitMS is how long a watch waits for a change, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Entry is one key with its value.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Response is the body of every answer; each kind sets only its own fields.
type Response struct {
	Code     result.Code `json:"code"`
	Detail   string      `json:"detail,omitempty"`
	Revision uint64      `json:"revision,omitempty"`
	Lease    uint64      `json:"lease,omitempty"`
	Entries  []Entry     `json:"entries,omitempty"`
	Deleted  []string    `json:"deleted,omitempty"`
}
