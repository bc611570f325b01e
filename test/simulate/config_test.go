package simulate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/test/caller"
)

const (
	// addedRoutes makes the configuration some 270 kB large.
	addedRoutes = 1400
	// changeCount changes follow each other with changeGap between them.
	changeCount = 12
	changeGap   = 300 * time.Millisecond
	// applyBound is the platform's smallest bound for a change to be in force.
	applyBound = 2 * time.Second
	// slowLink and fastLink are the speeds of the dispatchers' links, in bytes a second.
	slowLink = 25e6 / 8
	fastLink = 200e6 / 8
)

// Docs/incidents/0023: dispatchers with a slow link got so many copies of a large configuration
// that changes of it came seconds late.
func TestLargeConfigurationsAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, func(*rand.Rand) size { return size{hosts: 50, dispatchers: 9} })
		defer c.close()
		for i, d := range c.dispatchers {
			c.network.limitLink(d.name, []float64{slowLink, fastLink}[i%2])
		}
		must.True(t, c.allReady())
		client := c.newHTTPClient("callers")
		client.Timeout = time.Second
		var probes sync.WaitGroup
		for i := range changeCount {
			c.writeConfig(t, largeConfig(2+i))
			for _, address := range c.dispatcherAddresses {
				probes.Go(func() {
					time.Sleep(applyBound)
					if err := probeRoute(t.Context(), client, address, addedPrefix(2+i)); err != nil {
						t.Errorf("%s, %s after version %d was written: %v", address, applyBound, 2+i, err)
					}
				})
			}
			time.Sleep(changeGap)
		}
		probes.Wait()
		if t.Failed() && *printLogs {
			t.Log(c.log.String())
		}
	})
}

// A watch returns each version that was written meanwhile. After a time without the store that was
// more than the dispatchers read in the time of a call, or at all: they asked for the same again
// until the store had forgotten it.
func TestDispatchersCatchUpWithManyVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, func(*rand.Rand) size { return size{hosts: 6, dispatchers: 3} })
		defer c.close()
		for _, d := range c.dispatchers {
			c.network.limitLink(d.name, slowLink)
		}
		must.True(t, c.allReady())
		c.writeConfig(t, largeConfig(2))
		time.Sleep(applyBound)
		c.dispatcherGate.TurnAway(true)
		const last = 2 + missedVersions
		for version := 3; version <= last; version++ {
			c.writeConfig(t, largeConfig(version))
		}
		time.Sleep(changeGap)
		c.dispatcherGate.TurnAway(false)
		time.Sleep(applyBound)
		client := c.newHTTPClient("callers")
		for _, address := range c.dispatcherAddresses {
			must.NoError(t, probeRoute(t.Context(), client, address, addedPrefix(last)), must.Sprint(address))
		}
		if t.Failed() && *printLogs {
			t.Log(c.log.String())
		}
	})
}

// missedVersions versions are together larger than what the dispatchers read of a response.
const missedVersions = 24

// writeConfig writes a configuration to the store.
func (c *cluster) writeConfig(t *testing.T, config []byte) {
	current, err := c.operator.Get(t.Context(), platform.KeyConfig)
	must.NoError(t, err)
	_, err = c.operator.CompareAndSwap(t.Context(), platform.KeyConfig, current.Revision, config, 0)
	must.NoError(t, err)
}

func addedPrefix(version int) string { return fmt.Sprintf("/added%d/", version) }

// largeConfig returns a configuration with many routes, of which one is new in its version.
func largeConfig(version int) []byte {
	var routes strings.Builder
	add := func(prefix string) {
		fmt.Fprintf(&routes, `{"name":"r%s","hostname":"added.example","prefix":"%s","kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"%s","max_attempts":4,"stretch":1.6},`,
			strings.ReplaceAll(prefix, "/", "-"), prefix, caller.Service)
	}
	for i := range addedRoutes {
		add(fmt.Sprintf("/idle%d/", i))
	}
	for v := 2; v <= version; v++ {
		add(addedPrefix(v))
	}
	return []byte(strings.Replace(string(caller.ConfigOfVersion(version)), `"routes":[`, `"routes":[`+routes.String(), 1))
}

// probeRoute returns an error unless the dispatcher at the address serves the route.
func probeRoute(ctx context.Context, client *http.Client, address, prefix string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+prefix, nil)
	if err != nil {
		return err
	}
	req.Host = "added.example"
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
