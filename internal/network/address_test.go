package network_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/network"
)

// An address that can't be dialled must be found when it is read.
func TestValidAddress(t *testing.T) {
	for _, valid := range []string{"1.2.3.4:5", "1.2.3.4:65535", "host-1:80", "[::1]:80"} {
		must.True(t, network.ValidAddress(valid), must.Sprint(valid))
	}
	for _, invalid := range []string{"", ":5", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:-1", "1.2.3.4:+5", "1.2.3.4:x", "::1:80", "[[%zz:5", "a b:5", "a/b:5", "a@b:5"} {
		must.False(t, network.ValidAddress(invalid), must.Sprint(invalid))
	}
}
