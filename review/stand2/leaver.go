// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of crashOfLeaver.
const (
	// drainTime is the time for which a runner serves on after the store has taken its entry.
	drainTime = 2 * time.Second
	// leaverEvents, 100 ms apart, make streams that outlast the drain time by some seconds.
	leaverEvents = 60
	// crashAfter is the time from the end of the drain time to the crash.
	crashAfter = time.Second
)

// crashOfLeaver is the case of a planned leave that ends badly: one of eight runners leaves as planned, has closed its port and goes on with
// its streams, which have no length. Then it is killed.
func crashOfLeaver(f *fleet) (bool, error) {
	f.configure()
	if err := f.startAll(8, 1, 3); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // past ContactMs
	var mu sync.Mutex
	var answers []*answer
	var all sync.WaitGroup
	send := func(h *host, method, path string) {
		all.Add(1)
		go func() {
			defer all.Done()
			a := f.request(h, method, path)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
	}
	for i := range 36 {
		send(f.hosts[i%len(f.hosts)], "POST", "/draft/?unframed&events=60&pace=100")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	leaver := f.runners[0]
	f.drain(leaver)
	time.Sleep(drainTime + 100*time.Millisecond)
	leaver.signal(syscall.SIGUSR1)
	time.Sleep(crashAfter)
	if f.trouble {
		f.note("runner %s is killed", leaver.id)
		leaver.signal(syscall.SIGKILL)
	}
	all.Wait()
	return f.judgeWhole(answers), nil
}

// judgeWhole reports whether an answer appeared complete that was not the runner's whole body.
func (f *fleet) judgeWhole(answers []*answer) bool {
	var stream strings.Builder
	for n := 1; n <= leaverEvents; n++ {
		stream.WriteString(eventText(n))
	}
	broken := false
	for _, a := range answers {
		if a.complete() && a.status == 200 && a.body != stream.String() && a.body != plainText {
			f.note("%s from %s appears complete, with %d bytes that are not the whole body", a.id, a.runnerID(), len(a.body))
			broken = true
		}
	}
	return broken
}
