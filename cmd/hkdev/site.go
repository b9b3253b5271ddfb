// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Streams of the fake engines: the number of events and the time between them.
const (
	siteEventCount    = 6
	siteEventInterval = 50 * time.Millisecond
)

// runSite starts hosts on a fake of the users' platform and runs them until SIGTERM or
// SIGINT, or checks them and returns the exit code.
func runSite(a args, log logr.Logger) (int, error) {
	s := &site.Site{Log: log}
	if err := s.Start(); err != nil {
		return 1, err
	}
	defer s.Stop()
	s.Store.Put(platform.KeyConfig, site.Example())
	if _, _, err := s.AddExampleEndpoints(siteEventCount, siteEventInterval); err != nil {
		return 1, err
	}
	for range a.Hosts {
		if _, err := s.AddHost(); err != nil {
			return 1, err
		}
	}
	if a.Check {
		return checkSite(s), nil
	}
	fmt.Println("store     http://" + s.StoreAddress)
	for _, h := range s.Hosts {
		fmt.Printf("host      http://%s  where to go: http://%s%s  figures: http://%s/debug/vars\n", h.Boot.Front, h.Boot.Directory, platform.PathResolve, h.Boot.Control)
	}
	if len(s.Hosts) > 0 {
		fmt.Printf("\ntry:\n  %s\n", site.Curl(s.Hosts[0].Boot.Front))
	}
	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-signalCtx.Done()
	return 0, nil
}

// maxSiteAttempts bounds the attempts of one check, which fail while the host has not read
// the endpoints yet.
const maxSiteAttempts = 50

// checkSite sends one request of each kind, prints a line for each and returns the exit code.
func checkSite(s *site.Site) int {
	code := 0
	for _, path := range []string{"/push/1", "/ask/1", "/draft/1", "/review/1", "/open/1"} {
		var answer site.Answer
		for i := range maxSiteAttempts {
			answer = site.Do(s.Hosts[0].Boot.Front, site.Call{Path: path, Key: site.Key, ID: fmt.Sprintf("check-%s-%d", path, i), Body: "b", Tokens: "20,30"})
			if answer.Status == 200 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if answer.Status != 200 || !answer.Complete {
			code = 1
		}
		fmt.Printf("%-10s status %d whole %t %d bytes\n", path, answer.Status, answer.Complete, len(answer.Body))
	}
	return code
}
