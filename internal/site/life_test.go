// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// TestRevocation checks that a withdrawn key stops working, also at a host whose calls the store
// refuses: it learns of the change from a peer, or stops accepting keys once its settings are too
// old.
func TestRevocation(t *testing.T) {
	s := startTestSite(t, 2)
	c := Example()
	c.Version, c.Tenants[0].Keys = 2, []string{"new-key"}
	s.Store.Put(platform.KeyConfig, c)
	for _, h := range s.Hosts {
		s.await(t, "the old key is refused", func() bool { return Do(h.Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "r"}).Status == 401 })
		s.await(t, "the new key works", func() bool {
			return Do(h.Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "r"}).Status == 200
		})
	}
	s.Store.SetFault(StoreFault{Status: 503})
	for _, h := range s.Hosts {
		s.await(t, "settings are too old for keys", func() bool {
			return Do(h.Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "r"}).Status == 503
		})
		must.EqOp(t, 200, s.doWithRetry(t, h, Call{Path: "/open/a", ID: "r"}).Status)
		must.EqOp(t, 503, Do(h.Boot.Front, Call{Path: "/none/a", ID: "r"}).Status)
	}
	s.Store.SetFault(StoreFault{})
	s.await(t, "keys work again", func() bool {
		return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "r"}).Status == 200
	})
}

// TestLenientRevocation checks that, without strict revocation, a host whose settings are no longer
// updated continues to accept the keys that it knows, and does not refuse a key as unknown.
func TestLenientRevocation(t *testing.T) {
	s := startTestSiteWith(t, 1, func(s *Site) { s.Lenient = true })
	front := s.Hosts[0].Boot.Front
	s.Store.SetFault(StoreFault{Status: 503})
	s.await(t, "settings are old", func() bool {
		return Do(front, Call{Path: "/ask/a", Key: "unknown", ID: "r"}).Status == 503
	})
	time.Sleep(4 * time.Second) // a strict host accepts no key with settings older than 3 s
	must.EqOp(t, 200, s.doWithRetry(t, s.Hosts[0], Call{Path: "/ask/a", Key: Key, ID: "r"}).Status)
	must.EqOp(t, 503, Do(front, Call{Path: "/ask/a", Key: "unknown", ID: "r"}).Status)
	s.Store.SetFault(StoreFault{})
	s.await(t, "unknown keys are refused with 401 again", func() bool {
		return Do(front, Call{Path: "/ask/a", Key: "unknown", ID: "r"}).Status == 401
	})
}

// TestEndpointLeaves checks that a draining endpoint gets no more requests.
func TestEndpointLeaves(t *testing.T) {
	s := startTestSite(t, 1)
	e := s.plain[0]
	s.PutEntry(Plain, e, "draining")
	s.await(t, "the other endpoint gets all requests", func() bool {
		before := len(e.Runs())
		for i := range 10 {
			Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: Key, ID: fmt.Sprint("l", i)})
		}
		return len(e.Runs()) == before
	})
}

// TestReusedAddress checks that an endpoint runs no request that was meant for another instance at
// the same address.
func TestReusedAddress(t *testing.T) {
	s := startTestSite(t, 1)
	for i := range 2 {
		s.PutEntry(Plain, &Endpoint{Instance: fmt.Sprint("old-", i), Address: s.engines[i].Address}, "ready")
	}
	time.Sleep(time.Second) // lets the host read the entries; the checks below hold either way
	for i := range 40 {
		a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: Key, ID: fmt.Sprint("reuse-", i)})
		must.True(t, a.Status == 200 || a.Status == 503)
	}
	for i := range 2 {
		for _, r := range s.engines[i].Runs() {
			must.StrNotHasPrefix(t, "reuse-", r.AttemptID)
		}
	}
}

// TestPlannedStop sends SIGTERM under load. No request may be cut, and the host must report at once
// that it is not ready and disappear from the other host's address answers.
func TestPlannedStop(t *testing.T) {
	s := startTestSite(t, 2)
	h, other := s.Hosts[0], s.Hosts[1]
	s.await(t, "both hosts are in the address answer", func() bool {
		list, err := s.Resolve(other)
		return err == nil && len(list) == 2
	})
	for i := range 2 {
		s.engines[i].SetPace(300 * time.Millisecond)
	}
	running := make(chan Answer, 8)
	var stopping atomic.Bool
	for i := range 8 {
		go func() {
			c := Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("stop-", i), Body: "b", Tokens: "10,30"}
			a := Do(h.Boot.Front, c)
			for a.Status == 503 && !stopping.Load() { // refused before the stop; all eight must run at once
				time.Sleep(50 * time.Millisecond)
				a = Do(h.Boot.Front, c)
			}
			running <- a
		}()
	}
	s.await(t, "all eight requests run", func() bool { return s.engines[0].InFlight()+s.engines[1].InFlight() == 8 })
	stopping.Store(true)
	h.Signals <- syscall.SIGTERM
	s.await(t, "the host reports that it is not ready", func() bool {
		resp, err := http.Get("http://" + h.Boot.Ready + platform.PathReady)
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	s.await(t, "the stopping host is out of the address answer", func() bool {
		list, err := s.Resolve(other)
		return err == nil && len(list) == 1 && list[0] == other.Boot.Front
	})
	late := s.doWithRetry(t, h, Call{Path: "/ask/a", Key: Key, ID: "late"})
	must.EqOp(t, 200, late.Status)
	for range 8 {
		a := <-running
		must.EqOp(t, 200, a.Status)
		must.EqOp(t, StreamBody(streamEvents), a.Body)
	}
	<-h.Done
}

// TestReload changes a host's settings file with SIGHUP and without, and writes an invalid value.
func TestReload(t *testing.T) {
	s := startTestSite(t, 1)
	path, ip := filepath.Join(t.TempDir(), "boot.conf"), loopbackIP(89)
	write := func(extra string) {
		b := s.Hosts[0].Boot
		text := fmt.Sprintf("Node=second\nIp=%s\nListen.Front=%s:%d\nPlatform.Address=%s\n", ip, ip, 7000, b.Store)
		must.NoError(t, os.WriteFile(path, []byte(text+extra), 0o600))
	}
	write("")
	boot := s.Hosts[0].Boot
	boot.Host, boot.IP = "second", ip
	for _, a := range []*string{&boot.Front, &boot.Ready, &boot.Control, &boot.Directory} {
		_, port, _ := strings.Cut(*a, ":")
		*a = ip + ":" + port
	}
	h, err := s.Restart(&Host{Boot: boot, Path: path})
	must.NoError(t, err)
	status := func() int { return Do(h.Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "h"}).Status }
	s.await(t, "the host serves requests", func() bool { return status() == 200 })
	write("Timing.RevokeMs=1\n")
	h.Signals <- syscall.SIGHUP
	s.await(t, "the new limit is applied", func() bool { return status() == 503 })
	write("Timing.RevokeMs=5000\n")
	// One answer is not enough: settings that were confirmed in the last 0.6 ms are young enough
	// even for the former limit.
	s.await(t, "a change without a signal is applied", func() bool {
		for range 20 {
			if status() != 200 {
				return false
			}
			time.Sleep(5 * time.Millisecond)
		}
		return true
	})
	write("Timing.RevokeMs=never\n")
	h.Signals <- syscall.SIGHUP
	time.Sleep(300 * time.Millisecond)
	must.EqOp(t, 200, status())
}

// TestVars reads a host's published variables.
func TestVars(t *testing.T) {
	s := startTestSite(t, 1)
	resp, err := http.Get("http://" + s.Hosts[0].Boot.Control + "/debug/vars")
	must.NoError(t, err)
	defer resp.Body.Close()
	var v struct {
		Edge struct {
			Requests map[string]int64
			Series   []struct{ Workspace, Tier string }
			Ready    bool
		} `json:"heathkeel_edge"`
	}
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&v))
	must.Greater(t, 1, v.Edge.Requests["Served"])
	must.True(t, v.Edge.Ready)
	must.Greater(t, 1, len(v.Edge.Series))
}

// TestStoreFaults checks that public requests are served during faults of the store, and that the
// host limits its calls to the store.
func TestStoreFaults(t *testing.T) {
	s := startTestSite(t, 1)
	faults := []StoreFault{{Status: 503}, {Status: 429}, {Reset: true}, {Hang: time.Minute}, {Delay: 300 * time.Millisecond}, {LoseAnswer: true}}
	for _, fault := range faults {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			s.Store.SetFault(fault)
			s.Store.DropHistory()
			before := s.Store.Calls()
			for range 10 {
				must.EqOp(t, 200, s.doWithRetry(t, s.Hosts[0], Call{Path: "/open/a", ID: "m"}).Status)
				time.Sleep(100 * time.Millisecond)
			}
			must.LessEq(t, 60, s.Store.Calls()-before)
			s.Store.SetFault(StoreFault{})
			s.await(t, "keys work", func() bool { return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "m"}).Status == 200 })
		})
	}
}

// TestConfigurationRefused checks that an invalid configuration document changes nothing.
func TestConfigurationRefused(t *testing.T) {
	s := startTestSite(t, 1)
	c := Example()
	c.Version = 2
	c.Routes[0].Kind = "sometimes"
	s.Store.Put(platform.KeyConfig, c)
	time.Sleep(200 * time.Millisecond)
	must.EqOp(t, 200, s.doWithRetry(t, s.Hosts[0], Call{Path: "/ask/a", Key: Key, ID: "c"}).Status)
}

// TestStartInOutage starts a host while the store refuses all calls. The host must get settings and
// endpoints from another host and serve requests.
func TestStartInOutage(t *testing.T) {
	s := startTestSiteWith(t, 1, func(s *Site) { s.Lenient = true })
	s.Store.SetFault(StoreFault{Status: 503})
	h, err := s.AddHost()
	must.NoError(t, err)
	must.EqOp(t, 200, s.doWithRetry(t, h, Call{Path: "/ask/a", Key: Key, ID: "r"}).Status)
}
