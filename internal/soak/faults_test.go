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

// faultInjector injects faults, several at once.
type faultInjector struct {
	fleet   *fleet
	clients *clients
	rand    *rand.Rand

	wg        sync.WaitGroup
	mu        sync.Mutex
	claimed   map[*host]bool // hosts whose process one of the faults ends or pauses
	begun     []string
	startedAt time.Time

	configMu      sync.Mutex // held while the configuration is changed
	configVersion int
	variant       configVariant
}

// fault is a fault or a change. prepare makes all random choices and returns the function that
// injects the fault and waits for its end, so that a seed always gives the same choices.
type fault struct {
	name    string
	prepare func(c *faultInjector) func()
}

// faults lists all faults in a fixed order.
var faults = []fault{
	{"store-down", (*faultInjector).storeDown},
	{"store-slow", (*faultInjector).storeSlow},
	{"store-forgets", (*faultInjector).storeDropsHistory},
	{"store-link", (*faultInjector).disturbStoreProxy},
	{"store-silent", (*faultInjector).silenceStore},
	{"kill", (*faultInjector).kill},
	{"stop", (*faultInjector).stop},
	{"pause", (*faultInjector).pause},
	{"hup", (*faultInjector).reloadSettings},
	{"callers-link", (*faultInjector).disturbCallerProxy},
	{"endpoint-link", (*faultInjector).disturbEndpointProxy},
	{"endpoint-silent", (*faultInjector).silenceEndpoint},
	{"endpoint-fails", (*faultInjector).endpointFails},
	{"endpoint-leaves", (*faultInjector).endpointLeaves},
	{"endpoint-leaves", (*faultInjector).endpointLeaves},
	{"settings", (*faultInjector).changeConfigRepeatedly},
}

// run begins faults until ctx ends, and then waits for the pending ones.
func (c *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		f := faults[c.rand.IntN(len(faults))]
		end := f.prepare(c)
		c.logFault(f.name)
		c.wg.Go(end)
		time.Sleep(time.Duration(150+c.rand.IntN(900)) * time.Millisecond)
	}
	c.wg.Wait()
}

// logFault records which fault began and when, for the report of a failed run.
func (c *faultInjector) logFault(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = append(c.begun, fmt.Sprintf("%.2f s %s", time.Since(c.startedAt).Seconds(), what))
}

// randomDuration returns a duration from shortest up to longest.
func (c *faultInjector) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.rand.Int64N(int64(longest-shortest)))
}

// randomHost returns a random host.
func (c *faultInjector) randomHost() *host { return c.fleet.hosts[c.rand.IntN(len(c.fleet.hosts))] }

// disturbAllHosts begins a disturbance of all hosts and returns the function that ends it.
func (c *faultInjector) disturbAllHosts() func() {
	var ends []func()
	for _, h := range c.fleet.hosts {
		ends = append(ends, h.beginDisturbance())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// storeDown makes the store fail all calls for some time.
func (c *faultInjector) storeDown() func() {
	storeFaults := []site.StoreFault{{Status: 503}, {Reset: true}, {Hang: 3 * time.Second}, {Status: 429}}
	storeFault, duration, dropHistory := storeFaults[c.rand.IntN(len(storeFaults))], c.randomDuration(300*time.Millisecond, 6*time.Second), c.rand.IntN(3) == 0
	return func() {
		end := c.disturbAllHosts()
		c.fleet.store.SetFault(storeFault)
		time.Sleep(duration)
		if dropHistory {
			c.fleet.store.DropHistory()
		}
		c.fleet.store.SetFault(site.StoreFault{})
		end()
	}
}

// storeSlow delays the store's answers for some time.
func (c *faultInjector) storeSlow() func() {
	delay, duration := c.randomDuration(50*time.Millisecond, 700*time.Millisecond), c.randomDuration(time.Second, 4*time.Second)
	return func() {
		end := c.disturbAllHosts()
		c.fleet.store.SetFault(site.StoreFault{Delay: delay})
		time.Sleep(duration)
		c.fleet.store.SetFault(site.StoreFault{})
		end()
	}
}

// storeDropsHistory makes the store drop its history of changes.
func (c *faultInjector) storeDropsHistory() func() {
	return func() {
		c.fleet.store.DropHistory()
		c.disturbAllHosts()()
	}
}

// storeGoesBack makes the store go back to a copy some seconds old again and again until ctx ends; what operators and endpoints had written
// since is written again at its return. It draws from a source of its own, so that the faults of a seed stay the same.
func (c *faultInjector) storeGoesBack(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, 4*time.Second+time.Duration(r.Int64N(int64(6*time.Second))))
		old := c.fleet.store.Copy()
		pause(ctx, time.Duration(r.Int64N(int64(5*time.Second))))
		if ctx.Err() != nil {
			return
		}
		c.logFault("store-goes-back")
		end := c.disturbAllHosts()
		c.fleet.store.SetFault(site.StoreFault{Reset: true})
		time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
		c.fleet.store.GoBack(old, platform.PrefixConfig, platform.PrefixEndpoints)
		c.fleet.store.SetFault(site.StoreFault{})
		end()
	}
}

// disturbStoreProxy disturbs the connections between a host and the store.
func (c *faultInjector) disturbStoreProxy() func() {
	h, mode, duration := c.randomHost(), c.rand.IntN(4), c.randomDuration(500*time.Millisecond, 6*time.Second)
	return func() {
		defer h.beginDisturbance()()
		disturbProxy(h.storeProxy, mode, duration)
	}
}

// silenceStore silences the open connections to the store, of one host or of all.
func (c *faultInjector) silenceStore() func() {
	hosts := c.fleet.hosts
	if c.rand.IntN(2) == 0 {
		hosts = []*host{c.randomHost()}
	}
	return func() {
		for _, h := range hosts {
			h.storeProxy.Silence()
			h.beginDisturbance()()
		}
	}
}

// disturbProxy disturbs a proxy for some time, in one of four modes.
func disturbProxy(p *link.Proxy, mode int, duration time.Duration) {
	switch mode {
	case 0:
		p.Refuse(true)
		p.Reset()
		time.Sleep(duration)
		p.Refuse(false)
	case 1:
		p.Stall(link.Upstream, true)
		time.Sleep(duration)
		p.Stall(link.Upstream, false)
	case 2:
		p.Stall(link.Downstream, true)
		time.Sleep(duration)
		p.Stall(link.Downstream, false)
	default:
		p.Delay(40 * time.Millisecond)
		time.Sleep(duration)
		p.Delay(0)
	}
}

// disturbCallerProxy disturbs the connections between callers and a host, or silences the open
// ones.
func (c *faultInjector) disturbCallerProxy() func() {
	h, mode, duration := c.randomHost(), c.rand.IntN(5), c.randomDuration(300*time.Millisecond, 2*time.Second)
	return func() {
		defer h.beginPathCut()()
		if mode == 4 {
			h.callerProxy.Silence()
			return
		}
		disturbProxy(h.callerProxy, mode, duration)
	}
}

// randomEndpoint returns a random endpoint that is not leaving.
func (c *faultInjector) randomEndpoint() *fleetEndpoint {
	list := c.fleet.stayingEndpoints("")
	return list[c.rand.IntN(len(list))]
}

// disturbEndpointProxy disturbs the connections to an endpoint.
func (c *faultInjector) disturbEndpointProxy() func() {
	m, mode, duration := c.randomEndpoint(), c.rand.IntN(4), c.randomDuration(300*time.Millisecond, 3*time.Second)
	return func() {
		defer m.beginPathCut()()
		disturbProxy(m.Proxy, mode, duration)
	}
}

// silenceEndpoint silences the open connections to an endpoint.
func (c *faultInjector) silenceEndpoint() func() {
	m := c.randomEndpoint()
	return func() {
		defer m.beginPathCut()()
		m.Proxy.Silence()
	}
}

// endpointFails sets faults for some requests at an endpoint.
func (c *faultInjector) endpointFails() func() {
	list := []site.Fault{
		site.Full, site.Error, site.Reset, site.Hang, site.Truncated, site.TruncatedEvent, site.InvalidAnswer, site.NoStamp, site.ExtraAnswer,
		site.WrongAnswer, site.Unframed, site.UnframedReset, site.HangEvent, site.SkipEvent, site.DoubleEvent, site.Closing, site.Interim,
	}
	m := c.randomEndpoint()
	var injected []site.Fault
	for range 1 + c.rand.IntN(5) {
		injected = append(injected, list[c.rand.IntN(len(list))])
	}
	return func() {
		defer m.beginDisturbance()()
		m.SetFaults(injected...)
		time.Sleep(time.Second)
	}
}

// endpointLeaves retires an endpoint, unless its service would keep none. Two thirds of leaving
// endpoints announce it, and some serve for long after that.
func (c *faultInjector) endpointLeaves() func() {
	m, announced, entryTime := c.randomEndpoint(), c.rand.IntN(3) > 0, c.randomDuration(c.fleet.drain, 9*time.Second)
	if len(c.fleet.stayingEndpoints(m.service)) < 2 {
		return func() {}
	}
	return func() { c.fleet.retireEndpoint(m, announced, entryTime, entryTime/2) }
}

// retireEndpoint starts a replacement and makes an endpoint leave: with announced set its entry is
// marked as draining and removed after entryTime, otherwise it is removed at once. The
// endpoint serves for entryTime and then for serveTime more.
func (f *fleet) retireEndpoint(m *fleetEndpoint, announced bool, entryTime, serveTime time.Duration) {
	if err := f.addEndpoint(m.service); err != nil {
		panic(err)
	}
	key := platform.PrefixEndpoints + m.Instance
	if announced {
		f.store.Put(key, f.entry(m, "draining"))
	} else {
		f.store.Remove(key)
	}
	m.SayLeaving(true)
	m.mu.Lock()
	m.leftAt = time.Now()
	m.mu.Unlock()
	time.Sleep(entryTime)
	if announced {
		f.store.Remove(key)
	}
	time.Sleep(serveTime)
	m.Stop()
}

// changeConfigRepeatedly changes the configuration up to three times in a row, often with new keys.
func (c *faultInjector) changeConfigRepeatedly() func() {
	times, rotate := 1+c.rand.IntN(3), c.rand.IntN(2) == 0
	return func() {
		for range times {
			c.changeConfig(rotate)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// changeConfig writes a configuration. New keys are added before the old ones are withdrawn.
func (c *faultInjector) changeConfig(rotate bool) {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	generation := c.clients.currentGeneration()
	if !rotate {
		c.configVersion++
		c.fleet.store.Put(platform.KeyConfig, c.config(c.configVersion, workspaceKeys(generation)))
		return
	}
	withBothKeys := c.config(c.configVersion+1, workspaceKeys(generation))
	for i, k := range workspaceKeys(generation + 1) {
		withBothKeys.Tenants[i].Keys = append(withBothKeys.Tenants[i].Keys, k)
	}
	c.fleet.store.Put(platform.KeyConfig, withBothKeys)
	time.Sleep(applyTime)
	c.clients.rotateKeys()
	time.Sleep(applyTime / 2)
	c.configVersion += 2
	c.fleet.store.Put(platform.KeyConfig, c.config(c.configVersion, workspaceKeys(generation+1)))
	c.clients.noteWithdrawn(generation)
}

// applyTime is the time in which undisturbed hosts put a configuration in force.
const applyTime = 2500 * time.Millisecond

// faultLog returns the faults begun so far, in order.
func (c *faultInjector) faultLog() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.begun)
}
