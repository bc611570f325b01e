// Package wire defines the JSON messages between store.HTTP and the stand-in
// store. Each kind of call has its own path. A call is a POST, which is always
// answered with a Response that has a result code.
package wire

import "github.com/pomelosill/pomelosill/internal/result"

// ClientHeader identifies the calling process, so that faults can be limited to
// it.
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

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Get, CompareAndSwap, Delete, Grant, KeepAlive, Revoke, Watch}
}

// Path returns the URL path of the call.
func (k Kind) Path() string { return "/v1/" + string(k) }

// IsWrite reports whether a call of this kind changes the store.
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
	// After is the revision that the caller has: a watch returns only newer
	// changes, and a get omits the value if it is not newer.
	After uint64 `json:"after,omitempty"`
	// WaitMS is how long a watch waits for a change, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Entry is a key with its value.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Response is the body of every response; each kind of call sets only its own
// fields.
type Response struct {
	Code     result.Code `json:"code"`
	Detail   string      `json:"detail,omitempty"`
	Revision uint64      `json:"revision,omitempty"`
	Lease    uint64      `json:"lease,omitempty"`
	Entries  []Entry     `json:"entries,omitempty"`
	Deleted  []string    `json:"deleted,omitempty"`
}
