// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of Timing.GraceS in graceChange, in seconds.
const (
	shortGrace = 8
	longGrace  = 20
)

// graceChange is the case of a settings file that changes the grace: the file of a host gets a longer one and the host a SIGHUP, and later
// a SIGTERM. Without trouble the file has the longer one from the start.
func graceChange(f *fleet) (bool, error) {
	f.configure()
	f.grace = longGrace
	if f.trouble {
		f.grace = shortGrace
	}
	if err := f.startAll(2, 2, 3); err != nil {
		return false, err
	}
	h := f.hosts[0]
	if f.trouble {
		if err := h.setGrace(longGrace); err != nil {
			return false, err
		}
		f.note("GraceS is now %d in the settings file of the host; SIGHUP", longGrace)
		h.signal(syscall.SIGHUP)
	}
	time.Sleep(4 * time.Second) // past ContactMs
	var mu sync.Mutex
	cut := make(map[string]time.Time)
	var all sync.WaitGroup
	for _, path := range []string{"/draft/?events=95&pace=100", "/review/?events=95&pace=100"} {
		for range 4 {
			all.Add(1)
			go func() {
				defer all.Done()
				if a := f.request(h, "POST", path); a.status != 200 || !a.complete() {
					mu.Lock()
					defer mu.Unlock()
					cut[a.id] = time.Now()
				}
			}()
		}
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	f.note("SIGTERM")
	h.signal(syscall.SIGTERM)
	all.Wait()
	broken := false
	for id, at := range cut {
		after := at.Sub(stopped)
		f.note("%s has no complete answer; it ended %.1f s after SIGTERM", id, after.Seconds())
		// What a runner works on in the last sixth of the grace may be cut.
		broken = broken || after < longGrace*time.Second*5/6
	}
	return broken, nil
}

// setGrace changes Timing.GraceS in the host's settings file.
func (h *host) setGrace(seconds int) error {
	b, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	next := strings.Replace(string(b), fmt.Sprintf("Timing.GraceS=%d\n", shortGrace), fmt.Sprintf("Timing.GraceS=%d\n", seconds), 1)
	if err := os.WriteFile(h.settings+".new", []byte(next), 0o644); err != nil {
		return err
	}
	return os.Rename(h.settings+".new", h.settings)
}
