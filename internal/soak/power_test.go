// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Run numbers of these tests, which determine addresses.
const (
	powerRun  = 190
	ackedRuns = 192
)

// ask sends one request that may be repeated with a key of a generation and returns its status.
func (c *clients) ask(h *host, generation int) int {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c.mu.Lock()
	s := &sentRequest{id: fmt.Sprint("id-", len(c.sent)+1), kind: kinds[1], host: h, generation: generation, sentAt: time.Now()}
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	c.do(transport, s, 0)
	return s.status
}

// losePower ends a host's process without notice.
func losePower(h *host) {
	h.signal(syscall.SIGKILL)
	<-h.done()
}

// TestPowerLossAfterSettingsFile changes a host's settings file, with and without SIGHUP, and lets
// the host lose its power right after. It guards against a host that starts with values which are
// in no version of the file, or not at all, and against others that stop serving. The changed limit
// on the age of settings is so short that requests with keys are refused.
func TestPowerLossAfterSettingsFile(t *testing.T) {
	f := newFleet(t, powerRun, fewHosts)
	c := &clients{fleet: f, withdrawn: make(map[int]time.Time)}
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
	}
	h := f.hosts[0]
	before := h.settings
	changed := strings.ReplaceAll(before, fmt.Sprintf("Timing.RevokeMs=%d\n", revokeTime.Milliseconds()), "Timing.RevokeMs=1\n")
	must.NotEq(t, before, changed)
	cases := []struct {
		name   string
		signal bool
		delay  time.Duration // from the change to the loss of power
		// after is what is in the file afterwards; torn says that first only a part of it is.
		after string
		torn  bool
		want  int
	}{
		{"signal, the change is kept", true, 2 * time.Millisecond, changed, false, http.StatusServiceUnavailable},
		{"signal, the change is lost", true, 2 * time.Millisecond, before, false, http.StatusOK},
		{"signal in force, the change is kept", true, 300 * time.Millisecond, changed, false, http.StatusServiceUnavailable},
		{"no signal, the change is kept", false, 0, changed, false, http.StatusServiceUnavailable},
		{"no signal, the file is torn first", false, 0, before, true, http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.NoError(t, os.WriteFile(h.settingsPath, []byte(changed), 0o600))
			if tc.signal {
				h.signal(syscall.SIGHUP)
			}
			time.Sleep(tc.delay)
			losePower(h)
			must.EqOp(t, http.StatusOK, c.ask(f.hosts[1], 0))
			if tc.torn {
				h.settings = tc.after[:strings.Index(tc.after, "Listen.Front=")+5]
				must.NoError(t, f.start(h))
				select {
				case <-h.done():
				case <-time.After(10 * time.Second):
					t.Fatal("the host runs with a part of its settings file")
				}
			}
			h.settings = tc.after
			must.NoError(t, f.start(h))
			await(t, "the host is ready", h.isReady) // until then it refuses all requests with keys
			await(t, "the host answers by the file", func() bool { return c.ask(h, 0) == tc.want })
			for range 10 { // it stays so
				must.EqOp(t, tc.want, c.ask(h, 0))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	checkPromises(t, newRecord(f, c), alwaysPromises)
}

// ackedWithin is the time from a host's first answer by a configuration to its loss of power.
const ackedWithin = 4 * time.Millisecond

// TestPowerLossAfterConfiguration lets a host lose its power within 4 ms of its first answer by a
// new configuration that withdraws keys. It guards against a host that serves by the configuration
// before that after its restart, also if the store is gone and its peers have not heard of the new one.
func TestPowerLossAfterConfiguration(t *testing.T) {
	for i, outage := range []bool{false, true} {
		t.Run(fmt.Sprint("store fails ", outage), func(t *testing.T) {
			f := newFleet(t, ackedRuns+i, fewHosts)
			c := &clients{fleet: f, withdrawn: make(map[int]time.Time)}
			for _, h := range f.hosts {
				await(t, h.name+" is ready", h.isReady)
				await(t, h.name+" serves", func() bool { return c.ask(h, 0) == http.StatusOK })
			}
			h := f.hosts[0]
			f.store.Put(platform.KeyConfig, newConfig(2, workspaceKeys(1)))
			c.noteWithdrawn(0)
			var acked time.Time
			for acked.IsZero() {
				if c.ask(h, 1) == http.StatusOK {
					acked = time.Now()
				}
			}
			h.signal(syscall.SIGKILL)
			took := time.Since(acked)
			if outage {
				f.store.SetFault(site.StoreFault{Reset: true})
			}
			<-h.done()
			must.Less(t, ackedWithin, took)
			must.NoError(t, f.start(h))
			end := time.Now().Add(revokeTime + 2*time.Second)
			for time.Now().Before(end) {
				for _, x := range f.hosts {
					c.ask(x, 0)
				}
				time.Sleep(20 * time.Millisecond)
			}
			f.store.SetFault(site.StoreFault{})
			for _, x := range f.hosts {
				await(t, x.name+" serves by the new configuration", func() bool { return c.ask(x, 1) == http.StatusOK })
				must.EqOp(t, http.StatusUnauthorized, c.ask(x, 0))
			}
			r := newRecord(f, c)
			checkPromises(t, r, alwaysPromises)
			must.SliceEmpty(t, r.ranAfterRevocation())
			t.Logf("killed %v after the first answer; %s", took, statusCounts(r))
		})
	}
}
