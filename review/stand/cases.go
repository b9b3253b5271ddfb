// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes of the deployments, as in litoral-cobro but for the runners, which are fewer.
const (
	hosts      = 7
	contact    = 3 * time.Second // ContactMs
	drainTime  = 2 * time.Second // DrainMs
	reuseAfter = 2 * time.Second // ReuseAfterS
)

// startEngines starts n runners with the same arguments.
func (f *fleet) startEngines(n int, args ...string) error {
	for i := range n {
		if _, err := f.startRunner(fmt.Sprintf("e-%d", i), engines, args...); err != nil {
			return err
		}
	}
	return nil
}

// settle starts two runners for short requests and the hosts, and lets them run for longer than ContactMs without any disruption.
func (f *fleet) settle() error {
	for i := range 2 {
		if _, err := f.startRunner(fmt.Sprintf("p-%d", i), plain); err != nil {
			return err
		}
	}
	if err := f.addHosts(hosts); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	return nil
}

// doAll sends n requests at once, spread over the hosts, each on a connection on which a short request was answered before.
func (f *fleet) doAll(n int, c call) []answer {
	out := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		own := c
		own.id, own.kept = fmt.Sprintf("%s-%d", c.id, i), true
		wg.Go(func() { out[i] = f.do(f.hosts[i%len(f.hosts)], own) })
	}
	wg.Wait()
	for i := range out {
		if out[i].status != 200 {
			f.rec.note("client: request", fmt.Sprintf("%s-%d", c.id, i), "was not served:", fmt.Sprint(out[i].status, out[i].err))
		}
	}
	return out
}

// countCut returns how many requests were answered with a head, and ended before the answer was whole.
func countCut(answers []answer) int {
	n := 0
	for i := range answers {
		if answers[i].status == 200 && !answers[i].complete {
			n++
		}
	}
	return n
}

// maxCut is the number of requests from which on the rule LOST is broken: more than three times.
const maxCut = 3

// caseReborn cuts a runner's machine off from all machines for a short time. Behind the cut the runner, whose answers end with their
// connections, crashes and starts again. The rule ORDER is broken if the client of a stream that it had gets one that is complete by the
// protocol and lacks its end.
func caseReborn(f *fleet, trouble bool) (bool, error) {
	const events = 40
	args := []string{"-unframed", "-events", fmt.Sprint(events), "-pace", "100ms"}
	for i := range 6 {
		if err := f.startBehindProxy(fmt.Sprintf("e-%d", i), engines, args...); err != nil {
			return false, err
		}
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	begun, done := make(chan string, 1), make(chan error, 1)
	go func() { done <- f.cutAndCrash(begun, trouble, args) }()
	a := f.do(f.hosts[0], call{id: "reborn", method: "POST", path: "/stream-draft/1", body: "x", deadline: 10 * time.Second, begun: begun})
	if a.status != 200 {
		return false, fmt.Errorf("status %d, %v", a.status, a.err)
	}
	if err := <-done; err != nil {
		return false, err
	}
	n := countEvents(a.body)
	f.rec.note("the stream has", fmt.Sprint(n), "of", fmt.Sprint(events), "events, and is complete by the protocol:", fmt.Sprint(a.complete))
	return a.complete && n < events, nil
}

// cutAndCrash waits for the stamp of the stream, cuts its runner off, kills it and starts it again behind the cut, and ends the cut.
func (f *fleet) cutAndCrash(begun <-chan string, trouble bool, args []string) error {
	instance, _, _ := strings.Cut(<-begun, ".")
	time.Sleep(time.Second)
	if !trouble {
		return nil
	}
	r := f.runner(instance)
	if r == nil {
		return fmt.Errorf("no runner has the stamp %q", instance)
	}
	f.cut(r, true)
	time.Sleep(300 * time.Millisecond)
	f.setState(r, "") // a runner that crashes says nothing
	f.signalRunner(r, syscall.SIGKILL)
	<-r.ended
	time.Sleep(time.Second)
	again, err := f.launchRunner(instance+"-again", engines, r.own, args...)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	f.cut(r, false)
	f.announce(again, r.address)
	return nil
}

// caseFreeze freezes a host. Meanwhile a runner whose answers end with their connections crashes under a stream of that host, and starts
// again at its address. The rule ORDER is broken if the client gets a stream that is complete by the protocol and lacks its end.
func caseFreeze(f *fleet, trouble bool) (bool, error) {
	const events = 40
	args := []string{"-unframed", "-events", fmt.Sprint(events), "-pace", "100ms"}
	if err := f.startEngines(6, args...); err != nil {
		return false, err
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	h, begun, done := f.hosts[0], make(chan string, 1), make(chan error, 1)
	go func() { done <- f.freezeAndCrash(h, begun, trouble, args) }()
	a := f.do(h, call{id: "freeze", method: "POST", path: "/stream-draft/1", body: "x", deadline: 12 * time.Second, begun: begun})
	if a.status != 200 {
		return false, fmt.Errorf("status %d, %v", a.status, a.err)
	}
	if err := <-done; err != nil {
		return false, err
	}
	n := countEvents(a.body)
	f.rec.note("the stream has", fmt.Sprint(n), "of", fmt.Sprint(events), "events, and is complete by the protocol:", fmt.Sprint(a.complete))
	return a.complete && n < events, nil
}

// freezeAndCrash waits for the stamp of the stream, freezes the host, kills the runner of the stream, and starts it again.
func (f *fleet) freezeAndCrash(h *host, begun <-chan string, trouble bool, args []string) error {
	stamp := <-begun
	time.Sleep(time.Second)
	if !trouble {
		return nil
	}
	instance, _, _ := strings.Cut(stamp, ".")
	r := f.runner(instance)
	if r == nil {
		return fmt.Errorf("no runner has the stamp %q", stamp)
	}
	f.signal(h, syscall.SIGSTOP)
	time.Sleep(200 * time.Millisecond)
	f.setState(r, "") // a runner that crashes says nothing
	f.signalRunner(r, syscall.SIGKILL)
	<-r.ended
	time.Sleep(reuseAfter)
	again, err := f.launchRunner(instance+"-again", engines, r.address, args...)
	if err != nil {
		return err
	}
	f.announce(again, r.address)
	time.Sleep(500 * time.Millisecond)
	f.signal(h, syscall.SIGCONT)
	return nil
}

// caseComment lets one runner of six turn slow, so that it sends a comment before the first event of a stream. The rule ORDER is broken
// if a stream is complete by the protocol and lacks a piece.
func caseComment(f *fleet, trouble bool) (bool, error) {
	const events, first, slowed = 20, 300 * time.Millisecond, 5
	for i := range 6 {
		wait := first
		if trouble && i == 0 {
			wait *= slowed
		}
		args := []string{"-events", fmt.Sprint(events), "-pace", "50ms", "-first", wait.String(), "-comment", "1s"}
		if _, err := f.startRunner(fmt.Sprintf("e-%d", i), engines, args...); err != nil {
			return false, err
		}
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	short := 0
	for _, a := range f.doAll(24, call{id: "comment", method: "POST", path: "/stream-draft/1", body: "x", deadline: 10 * time.Second}) {
		if n := countEvents(a.body); a.status == 200 && a.complete && n < events {
			short++
			f.rec.note("stream", a.header.Get("Heathkeel-Response-Stamp"), "is complete by the protocol and has", fmt.Sprint(n), "of", fmt.Sprint(events), "events; it begins with", fmt.Sprintf("%.60q", a.body))
		}
	}
	return short > 0, nil
}

// caseLate lets the runners read the rest of a body after they have begun to answer. The rule LOST is broken if hosts close the
// connections of more than three such requests before they are answered.
func caseLate(f *fleet, trouble bool) (bool, error) {
	const events, size = 110, 1 << 20
	args := []string{"-events", fmt.Sprint(events), "-pace", "100ms"}
	if trouble {
		args = append(args, "-late")
	}
	if err := f.startEngines(6, args...); err != nil {
		return false, err
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	cut := countCut(f.doAll(14, call{id: "late", method: "POST", path: "/stream-review/1", body: strings.Repeat("x", size), deadline: 15 * time.Second}))
	f.rec.note("connections closed without a whole answer:", fmt.Sprint(cut), "allowed:", fmt.Sprint(maxCut))
	return cut > maxCut, nil
}

// caseLeave lets one of eight runners leave as planned. It serves for more than DrainMs, then takes no new connections and ends what it
// runs. Its answers end with their connections. The rule LOST is broken if hosts close the connections of more than three requests before
// they are answered.
func caseLeave(f *fleet, trouble bool) (bool, error) {
	const events = 60
	if err := f.startEngines(8, "-unframed", "-events", fmt.Sprint(events), "-pace", "100ms"); err != nil {
		return false, err
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	done := make(chan []answer, 1)
	go func() {
		done <- f.doAll(56, call{id: "leave", method: "POST", path: "/stream-draft/1", body: "x", deadline: 10 * time.Second})
	}()
	time.Sleep(1200 * time.Millisecond)
	if r := f.runner("e-0"); trouble {
		f.setState(r, "draining")
		time.Sleep(drainTime + 500*time.Millisecond)
		f.signalRunner(r, syscall.SIGTERM)
	}
	cut := 0
	for _, a := range <-done {
		if a.status == 200 && !a.complete {
			cut++
			f.rec.note("stream", a.header.Get("Heathkeel-Response-Stamp"), "was cut after", fmt.Sprint(countEvents(a.body)), "of", fmt.Sprint(events), "events")
		}
	}
	f.rec.note("connections closed without a whole answer:", fmt.Sprint(cut), "allowed:", fmt.Sprint(maxCut))
	return cut > maxCut, nil
}

// caseSlow lets clients read long answers slowly, but steadily and within their deadlines. The rule LOST is broken if hosts close the
// connections of more than three such requests before they are answered.
func caseSlow(f *fleet, trouble bool) (bool, error) {
	const size = 260 << 10
	for i := range 4 {
		if _, err := f.startRunner(fmt.Sprintf("d-%d", i), documents, "-bytes", fmt.Sprint(size)); err != nil {
			return false, err
		}
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	c := call{id: "slow", method: "POST", path: "/letter/1", body: "x", deadline: 12 * time.Second, window: 8 << 10}
	if trouble {
		c.rate = 28 << 10
	}
	cut := countCut(f.doAll(7, c))
	f.rec.note("connections closed without a whole answer:", fmt.Sprint(cut), "allowed:", fmt.Sprint(maxCut))
	return cut > maxCut, nil
}

// caseAgain lets a runner, which was added when the streams had begun and so is idle, crash and start again under its Id, with another
// version of its software. Then two other runners of eight crash. The rule ORDER is broken if more than two streams hold events of both
// versions.
func caseAgain(f *fleet, trouble bool) (bool, error) {
	const events, maxMixed = 90, 2
	args := []string{"-events", fmt.Sprint(events), "-pace", "100ms"}
	for i := range 7 {
		if err := f.startBorn(fmt.Sprintf("e-%d", i), args...); err != nil {
			return false, err
		}
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	done := make(chan []answer, 1)
	go func() {
		done <- f.doAll(54, call{id: "again", method: "POST", path: "/stream-review/1", body: "x", deadline: 12 * time.Second})
	}()
	time.Sleep(time.Second)
	if err := f.startBorn("e-7", args...); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := f.crashAndUpgrade(args); err != nil {
			return false, err
		}
	}
	mixed := 0
	for _, a := range <-done {
		if strings.Contains(a.body, "of v1") && strings.Contains(a.body, "of v2") {
			mixed++
			f.rec.note("stream", a.header.Get("Heathkeel-Response-Stamp"), "holds events of v1 and of v2, and is complete by the protocol:", fmt.Sprint(a.complete))
		}
	}
	f.rec.note("streams with events of two versions:", fmt.Sprint(mixed), "allowed:", fmt.Sprint(maxMixed))
	return mixed > maxMixed, nil
}

// startBorn starts a runner of version v1 whose entry tells when it was started.
func (f *fleet) startBorn(instance string, args ...string) error {
	r, err := f.launchRunner(instance, engines, "", args...)
	if err != nil {
		return err
	}
	r.born = time.Now().UnixMilli()
	f.announce(r, r.own)
	return nil
}

// crashAndUpgrade kills the idle runner, starts it again under its Id with another version 2 s later, and kills two others while it has
// not written its entry yet: it does so 0.3 s after it has begun to listen.
func (f *fleet) crashAndUpgrade(args []string) error {
	old := f.runner("e-7")
	f.setState(old, "")
	f.signalRunner(old, syscall.SIGKILL)
	<-old.ended
	time.Sleep(2 * time.Second)
	again, err := f.launchRunner(old.instance, engines, old.own, append(args, "-version", "v2")...)
	if err != nil {
		return err
	}
	again.version, again.born = "v2", time.Now().UnixMilli()
	time.Sleep(100 * time.Millisecond)
	for _, r := range []*runner{f.runner("e-0"), f.runner("e-1")} {
		f.setState(r, "")
		f.signalRunner(r, syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	f.announce(again, again.own)
	f.rec.note("runner e-7 has written its entry with version v2")
	return nil
}
