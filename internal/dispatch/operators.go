package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/operators"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// policyWatchTimeout, policyResponseTimeout and policyRetryDelay are the
	// times of the watcher of the operators' keys.
	policyWatchTimeout    = time.Second
	policyResponseTimeout = 400 * time.Millisecond
	policyRetryDelay      = 100 * time.Millisecond
)

// newOperatorWatcher returns a watcher that keeps the policy equal to what
// operators write to the store.
func newOperatorWatcher(s store.Store, holder *policy.Holder, log *zap.Logger) *prefixWatcher {
	reader := operators.NewReader(s, holder, log)
	return &prefixWatcher{
		store: s, log: log, prefix: platform.PrefixOperators, subject: "operators' keys",
		watchTimeout: policyWatchTimeout, responseTimeout: policyResponseTimeout, retryDelay: policyRetryDelay,
		apply: reader.Apply, confirm: reader.Confirm,
	}
}
