// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// endingEvents and endingPace (in ms) give streams of 6 s.
	endingEvents = 30
	endingPace   = 200
	// closesBefore is the time before the end of its streams at which a leaving runner closes its port.
	closesBefore = 30 * time.Millisecond
	// engines is the number of engines, of which two leave, and of streams of each host.
	engines = 12
	// maxUnanswered is the number of times that the rule allows.
	maxUnanswered = 3
)

// plannedEnd is the case of two of twelve runners that leave as planned: they close their ports a moment before their last answers, which have no length,
// end. Nothing is killed.
func plannedEnd(f *fleet) (bool, error) {
	f.configure()
	if err := f.startAll(engines, 4, 7); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // past ContactMs
	leaving := f.runners[:2]
	var mu sync.Mutex
	var answers []*answer
	var kept, all sync.WaitGroup
	begin := make(chan struct{})
	for _, h := range f.hosts {
		for range engines {
			all.Add(1)
			kept.Add(1)
			go func() {
				defer all.Done()
				client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
				f.requestBy(client, h, "POST", "/ask/?pace=1") // from here on the connection is a kept one
				kept.Done()
				<-begin
				a := f.requestBy(client, h, "POST", "/draft/?unframed&events=30&pace=200")
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
	}
	kept.Wait()
	sent := time.Now()
	close(begin)
	time.Sleep(500 * time.Millisecond)
	if f.trouble {
		for _, r := range leaving {
			f.drain(r)
		}
		time.Sleep(time.Until(sent.Add(endingEvents*endingPace*time.Millisecond - closesBefore)))
		for _, r := range leaving {
			r.signal(syscall.SIGUSR1)
		}
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond) // the runners' lines are in the record
	cut := 0
	for _, a := range answers {
		if f.wroteWhole(a.id) && !(a.status == 200 && a.complete()) {
			f.note("%s has no whole answer, though its runner wrote all of it", a.id)
			cut++
		}
	}
	f.note("%d of %d requests from kept connections to sound runners have no whole answer; %d of the requests were at the runners that leave", cut, len(answers), atLeavers(answers))
	return cut > maxUnanswered, nil
}

// atLeavers returns the number of answers that came from the runners that leave.
func atLeavers(answers []*answer) int {
	n := 0
	for _, a := range answers {
		if a.runnerID() == "i-e1" || a.runnerID() == "i-e2" {
			n++
		}
	}
	return n
}

// wroteWhole reports whether a runner wrote the whole answer to a request.
func (f *fleet) wroteWhole(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.lines {
		if strings.HasPrefix(line, "ended "+id+" ") && strings.HasSuffix(line, "whole true") {
			return true
		}
	}
	return false
}
