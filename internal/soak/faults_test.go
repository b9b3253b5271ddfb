// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/link"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// chaos brings faults about, several at once.
type chaos struct {
	f    *fleet
	c    *clients
	rand *rand.Rand

	wg    sync.WaitGroup
	mu    sync.Mutex
	busy  map[*host]bool // hosts whose process is being ended
	log   []string
	began time.Time

	writing sync.Mutex // one operator at a time
	version int
}

// fault is one thing that goes wrong, or is changed. What it draws, it draws before it waits.
type fault struct {
	name string
	do   func(c *chaos) func()
}

// faults are all, in a fixed order.
var faults = []fault{
	{"store-down", (*chaos).storeDown},
	{"store-slow", (*chaos).storeSlow},
	{"store-forgets", (*chaos).storeForgets},
	{"store-link", (*chaos).storeLink},
	{"store-silent", (*chaos).storeSilent},
	{"kill", (*chaos).kill},
	{"stop", (*chaos).stop},
	{"pause", (*chaos).pause},
	{"hup", (*chaos).hup},
	{"callers-link", (*chaos).callersLink},
	{"endpoint-link", (*chaos).endpointLink},
	{"endpoint-silent", (*chaos).endpointSilent},
	{"endpoint-fails", (*chaos).endpointFails},
	{"endpoint-leaves", (*chaos).endpointLeaves},
	{"endpoint-leaves", (*chaos).endpointLeaves},
	{"settings", (*chaos).settings},
}

// run begins faults until ctx ends, and waits for those that go on.
func (c *chaos) run(ctx context.Context) {
	for ctx.Err() == nil {
		f := faults[c.rand.IntN(len(faults))]
		end := f.do(c)
		c.note(f.name)
		c.wg.Go(end)
		time.Sleep(time.Duration(150+c.rand.IntN(900)) * time.Millisecond)
	}
	c.wg.Wait()
}

// note keeps what was begun when, for the report of a run.
func (c *chaos) note(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%.2f s %s", time.Since(c.began).Seconds(), what))
}

// between draws a time.
func (c *chaos) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rand.Int64N(int64(most-least)))
}

// pick draws a host.
func (c *chaos) pick() *host { return c.f.hosts[c.rand.IntN(len(c.f.hosts))] }

// everyone notes a trouble of all hosts.
func (c *chaos) everyone() func() {
	var ends []func()
	for _, h := range c.f.hosts {
		ends = append(ends, h.trouble())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// storeDown lets the store answer nobody.
func (c *chaos) storeDown() func() {
	moods := []site.StoreFault{{Status: 503}, {Reset: true}, {Hang: 3 * time.Second}, {Status: 429}}
	mood, span, forgets := moods[c.rand.IntN(len(moods))], c.between(300*time.Millisecond, 6*time.Second), c.rand.IntN(3) == 0
	return func() {
		calm := c.everyone()
		c.f.store.SetFault(mood)
		time.Sleep(span)
		if forgets {
			c.f.store.DropHistory()
		}
		c.f.store.SetFault(site.StoreFault{})
		calm()
	}
}

// storeSlow makes its answers late.
func (c *chaos) storeSlow() func() {
	slow, span := c.between(50*time.Millisecond, 700*time.Millisecond), c.between(time.Second, 4*time.Second)
	return func() {
		calm := c.everyone()
		c.f.store.SetFault(site.StoreFault{Delay: slow})
		time.Sleep(span)
		c.f.store.SetFault(site.StoreFault{})
		calm()
	}
}

// storeForgets drops its history.
func (c *chaos) storeForgets() func() {
	return func() {
		c.f.store.DropHistory()
		c.everyone()()
	}
}

// storeLink harms a host's way to the store.
func (c *chaos) storeLink() func() {
	h, how, span := c.pick(), c.rand.IntN(4), c.between(500*time.Millisecond, 6*time.Second)
	return func() {
		defer h.trouble()()
		harm(h.store, how, span)
	}
}

// storeSilent silences the connections to the store that are open, of one host or of all.
func (c *chaos) storeSilent() func() {
	hosts := c.f.hosts
	if c.rand.IntN(2) == 0 {
		hosts = []*host{c.pick()}
	}
	return func() {
		for _, h := range hosts {
			h.store.Silence()
			h.trouble()()
		}
	}
}

// harm harms a link for a time.
func harm(p *link.Proxy, how int, span time.Duration) {
	switch how {
	case 0:
		p.Refuse(true)
		p.Reset()
		time.Sleep(span)
		p.Refuse(false)
	case 1:
		p.Stall(link.Upstream, true)
		time.Sleep(span)
		p.Stall(link.Upstream, false)
	case 2:
		p.Stall(link.Downstream, true)
		time.Sleep(span)
		p.Stall(link.Downstream, false)
	default:
		p.Delay(40 * time.Millisecond)
		time.Sleep(span)
		p.Delay(0)
	}
}

// callersLink harms the way from callers to a host; at times its connections fall silent.
func (c *chaos) callersLink() func() {
	h, how, span := c.pick(), c.rand.IntN(5), c.between(300*time.Millisecond, 2*time.Second)
	return func() {
		defer h.trouble()()
		if how == 4 {
			h.calls.Silence()
			return
		}
		harm(h.calls, how, span)
	}
}

// member draws an endpoint that stays.
func (c *chaos) member() *member {
	list := c.f.staying("")
	return list[c.rand.IntN(len(list))]
}

// endpointLink harms the way to an endpoint.
func (c *chaos) endpointLink() func() {
	m, how, span := c.member(), c.rand.IntN(4), c.between(300*time.Millisecond, 3*time.Second)
	return func() {
		defer m.trouble()()
		harm(m.Proxy, how, span)
	}
}

// endpointSilent silences the connections to an endpoint that are open.
func (c *chaos) endpointSilent() func() {
	m := c.member()
	return func() {
		m.Proxy.Silence()
		m.trouble()()
	}
}

// endpointFails lets an endpoint fail some requests.
func (c *chaos) endpointFails() func() {
	list := []site.Fault{
		site.Full, site.Error, site.Reset, site.Hang, site.Truncated, site.TruncatedEvent, site.InvalidAnswer, site.NoStamp, site.ExtraAnswer,
		site.WrongAnswer, site.Unframed, site.UnframedReset, site.HangEvent, site.SkipEvent, site.DoubleEvent, site.Closing, site.Interim,
	}
	m := c.member()
	var some []site.Fault
	for range 1 + c.rand.IntN(5) {
		some = append(some, list[c.rand.IntN(len(list))])
	}
	return func() {
		defer m.trouble()()
		m.SetFaults(some...)
		time.Sleep(time.Second)
	}
}

// endpointLeaves lets an endpoint leave after another one has come: most say so, some do not,
// and some go on for long.
func (c *chaos) endpointLeaves() func() {
	m, says, stays := c.member(), c.rand.IntN(3) > 0, c.between(c.f.drain, 9*time.Second)
	if len(c.f.staying(m.service)) < 2 {
		return func() {}
	}
	return func() { c.f.letLeave(m, says, stays, stays/2) }
}

// letLeave lets an endpoint leave, with or without a word, after another one has come. Its entry is gone after a time at the latest, and it
// serves on for some time more.
func (f *fleet) letLeave(m *member, says bool, stays, more time.Duration) {
	if err := f.addEndpoint(m.service); err != nil {
		panic(err)
	}
	key := platform.PrefixEndpoints + m.Instance
	if says {
		f.store.Put(key, f.entry(m, "draining"))
	} else {
		f.store.Remove(key)
	}
	m.mu.Lock()
	m.left = time.Now()
	m.mu.Unlock()
	time.Sleep(stays)
	if says {
		f.store.Remove(key)
	}
	time.Sleep(more)
	m.Stop()
}

// settings changes the configuration, often with new keys, several times in a row.
func (c *chaos) settings() func() {
	times, rotate := 1+c.rand.IntN(3), c.rand.IntN(2) == 0
	return func() {
		for range times {
			c.change(rotate)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// change writes a configuration. New keys are added before the old ones are withdrawn.
func (c *chaos) change(rotate bool) {
	c.writing.Lock()
	defer c.writing.Unlock()
	generation := c.c.inForce()
	if !rotate {
		c.version++
		c.f.store.Put(platform.KeyConfig, config(c.version, keys(generation)))
		return
	}
	both := config(c.version+1, keys(generation))
	for i, k := range keys(generation + 1) {
		both.Tenants[i].Keys = append(both.Tenants[i].Keys, k)
	}
	c.f.store.Put(platform.KeyConfig, both)
	time.Sleep(settle)
	c.c.rotate()
	time.Sleep(settle / 2)
	c.version += 2
	c.f.store.Put(platform.KeyConfig, config(c.version, keys(generation+1)))
	c.c.withdraw(generation)
}

// settle is the time in which hosts in touch put a configuration in force.
const settle = 2500 * time.Millisecond

// story is what was begun, in order.
func (c *chaos) story() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.log)
}
