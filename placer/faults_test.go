// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/settings"
)

// bay is one zone with engines, placers and a check that no model loses its last
// serving engine.
type bay struct {
	t       *testing.T
	ctx     context.Context
	kv      *fake.KV
	store   *fake.WeightStore
	engines map[string]*fake.Engine
	net     fake.Transport
	snap    atomic.Pointer[settings.Snapshot]
	lost    atomic.Int64 // answers of orders still to be lost
	n       int
	placers []*Placer
	stops   []context.CancelFunc
}

// newBay starts n engines that all hold version 1, or nothing.
func newBay(t *testing.T, ctx context.Context, n int, held, fenced bool) *bay {
	b := &bay{t: t, ctx: ctx, kv: &fake.KV{}, store: &fake.WeightStore{LoadTime: 3 * time.Second}, engines: map[string]*fake.Engine{}, net: fake.Transport{}}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		e := &fake.Engine{Core: fake.EngineCore{Slots: 4, PrefillPerStep: 512, CacheBlocks: 10}, StepTime: 5 * time.Millisecond, Store: b.store, Unfenced: !fenced}
		if held {
			e.SetLoaded(*holds("m", "1"))
		}
		b.engines[name] = e
		b.net[name] = e.Handler()
	}
	b.declare("1", n, fenced)
	return b
}

// declare puts a placement of one model in force.
func (b *bay) declare(version string, replicas int, fenced bool) {
	text := fmt.Sprintf("models: {m: {}}\nplacements: {m: {model: m, version: %q, replicas: %d}}\nendpoints:\n", version, replicas)
	i := 0
	for name := range b.engines {
		i++
		text += fmt.Sprintf("  %s: {address: \"10.0.0.1:%d\", zone: z, fenced: %v}\n", name, i, fenced)
	}
	p := settings.Parse([]settings.File{{Name: "t.yaml", Data: []byte(text)}})
	must.Len(b.t, 0, p.Faults, must.Sprint(p.Faults))
	b.snap.Store(settings.NewSnapshot(1, p.Declaration))
}

// lossy loses the answers of orders.
type lossy struct {
	endpoint.Engine
	b *bay
}

func (l lossy) Order(ctx context.Context, o endpoint.Order) error {
	err := l.Engine.Order(ctx, o)
	if l.b.lost.Add(-1) >= 0 {
		return errors.New("answer lost")
	}
	return err
}

// reach gives the way to an engine.
func (b *bay) reach(e settings.Endpoint) endpoint.Engine {
	return lossy{&endpoint.Client{Base: "http://" + e.Name, HTTP: &http.Client{Transport: b.net}}, b}
}

// add starts a placer with a key-value service of its own view.
func (b *bay) add(kv keyval.KV) *Placer {
	b.n++
	p := &Placer{
		Clock: clock.NewSteady(),
		Name:  fmt.Sprint("p", b.n), Zone: "z", KV: kv, Weights: b.store, Settings: b.snap.Load,
		Engine: b.reach, Log: logr.Discard(),
	}
	ctx, cancel := context.WithCancel(b.ctx)
	go p.Run(ctx)
	b.placers = append(b.placers, p)
	b.stops = append(b.stops, cancel)
	return p
}

// serving counts the engines that serve a version; with an empty one, any.
func (b *bay) serving(version string) int {
	n := 0
	for name := range b.engines {
		rep, err := b.reach(settings.Endpoint{Name: name}).Report(b.ctx, noEvents)
		if err == nil && rep.Loaded != nil && rep.Role != RoleDrain && (version == "" || rep.Loaded.Version == version) {
			n++
		}
	}
	return n
}

// until waits until all engines serve a version, with one serving at all times,
// and returns how long it took.
func (b *bay) until(version string) time.Duration {
	start := time.Now()
	had := b.serving("") > 0
	for range 3600 {
		if n := b.serving(""); had && n == 0 {
			b.t.Fatal("no engine serves the model")
		} else if n > 0 {
			had = true
		}
		if b.serving(version) == len(b.engines) {
			return time.Since(start)
		}
		time.Sleep(time.Second)
	}
	b.t.Fatalf("only %d of %d engines ever served version %s; loads %d", b.serving(version), len(b.engines), version, b.store.Loads())
	return 0
}

// inBay runs a test on injected time.
func inBay(t *testing.T, engines int, held, fenced bool, run func(b *bay)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		run(newBay(t, ctx, engines, held, fenced))
	})
}

func TestPlacementFaults(t *testing.T) {
	const engines = 6
	cases := []struct {
		name     string
		maxLoads int
		run      func(b *bay) time.Duration
	}{
		{"empty engines are filled", engines, func(b *bay) time.Duration {
			for _, e := range b.engines {
				e.SetLoaded(*holds("other", "9"))
			}
			b.add(b.kv)
			return b.until("1")
		}},
		{"a new version rolls out", engines, func(b *bay) time.Duration {
			b.add(b.kv)
			b.add(b.kv)
			b.declare("2", engines, true)
			return b.until("2")
		}},
		{"renewal answers lost", engines, func(b *bay) time.Duration {
			b.add(b.kv)
			time.Sleep(20 * time.Second)
			b.kv.SetFaults(fake.KVFaults{LoseAnswer: 4})
			b.declare("2", engines, true)
			return b.until("2")
		}},
		{"claim answer lost", engines, func(b *bay) time.Duration {
			b.kv.SetFaults(fake.KVFaults{LoseAnswer: 2})
			b.add(b.kv)
			b.declare("2", engines, true)
			return b.until("2")
		}},
		{"KV down for an hour", engines, func(b *bay) time.Duration {
			b.add(b.kv)
			time.Sleep(time.Minute)
			b.kv.SetFaults(fake.KVFaults{Down: true})
			time.Sleep(time.Minute)
			b.declare("2", engines, true)
			time.Sleep(time.Hour)
			must.Eq(b.t, engines, b.serving("1"))
			must.Zero(b.t, b.store.Loads())
			b.kv.SetFaults(fake.KVFaults{})
			return b.until("2")
		}},
		{"order taken and answer lost", engines, func(b *bay) time.Duration {
			b.lost.Store(5)
			b.add(b.kv)
			b.declare("2", engines, true)
			return b.until("2")
		}},
		{"weight store refuses for two minutes", engines + 16, func(b *bay) time.Duration {
			b.add(b.kv)
			b.store.SetFaults(fake.WeightFaults{Corrupt: true})
			b.declare("2", engines, true)
			time.Sleep(2 * time.Minute)
			must.Positive(b.t, b.serving("1"))
			b.store.SetFaults(fake.WeightFaults{})
			return b.until("2")
		}},
		{"weight store ten times slower", engines, func(b *bay) time.Duration {
			b.store.SetFaults(fake.WeightFaults{Slowdown: 10})
			b.add(b.kv)
			b.declare("2", engines, true)
			return b.until("2")
		}},
		{"engine restarts while it loads", engines + 1, func(b *bay) time.Duration {
			b.add(b.kv)
			b.declare("2", engines, true)
			for b.store.Loads() == 0 {
				time.Sleep(time.Second)
			}
			for _, e := range b.engines {
				e.Restart()
			}
			return b.until("2")
		}},
		{"every host replaced one after the other", engines, func(b *bay) time.Duration {
			b.add(b.kv)
			b.declare("2", engines, true)
			for i := range 5 {
				time.Sleep(20 * time.Second)
				b.stops[i]()
				b.add(b.kv)
			}
			return b.until("2")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBay(t, engines, true, true, func(b *bay) {
				took := c.run(b)
				must.LessEq(t, c.maxLoads, b.store.Loads())
				t.Logf("agreed %v after the last event; %d loads", took, b.store.Loads())
			})
		})
	}
}

// pausable lets a test hold up all calls of one host.
type pausable struct {
	keyval.KV
	paused atomic.Bool
}

func (p *pausable) Renew(ctx context.Context, l keyval.Lease) error {
	if p.paused.Load() {
		<-ctx.Done()
		return keyval.ErrUnavailable
	}
	return p.KV.Renew(ctx, l)
}

func TestHolderPausedPastItsLease(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced=", fenced), func(t *testing.T) {
			inBay(t, 2, true, fenced, func(b *bay) {
				kv := &pausable{KV: b.kv}
				old := b.add(kv)
				time.Sleep(40 * time.Second)
				must.True(t, old.Counts().Held)
				stale := old.Counts().Token
				old.mu.Lock()
				before := old.lease
				old.mu.Unlock()
				kv.paused.Store(true)
				next := b.add(b.kv)
				time.Sleep(60 * time.Second)
				must.True(t, next.Counts().Held)
				must.Greater(t, stale, next.Counts().Token)
				must.False(t, old.Counts().Held)
				// Going on, the old holder would order the zone as it saw it. Its own
				// clock forbids that; the engine that checks refuses it besides.
				must.False(t, before.MayOrder(fenced))
				b.declare("2", 2, fenced)
				b.until("2")
				if fenced {
					err := b.reach(settings.Endpoint{Name: "e00"}).Order(b.ctx, endpoint.Order{Token: stale, Want: holds("m", "1"), Role: "both"})
					must.ErrorIs(t, err, endpoint.ErrStaleToken)
					must.Eq(t, 2, b.serving("2"))
				}
			})
		})
	}
}

func TestGuardTimeOfUnfencedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := Lease{KV: &fake.KV{}, Key: "k", Holder: "a", Clock: clock.NewSteady()}
		must.NoError(t, l.RenewOrAcquire(t.Context()))
		must.True(t, l.MayOrder(true))
		must.False(t, l.MayOrder(false))
		time.Sleep(DefaultTTL - time.Second)
		must.NoError(t, l.RenewOrAcquire(t.Context()))
		must.False(t, l.MayOrder(false))
		time.Sleep(time.Second)
		must.True(t, l.MayOrder(false))
		time.Sleep(DefaultTTL / 2)
		must.True(t, l.MayOrder(true))
		must.False(t, l.MayOrder(false))
		time.Sleep(DefaultTTL / 2)
		must.False(t, l.MayOrder(true))
	})
}

// TestHolderSuspendedPastItsLease checks that a holder whose host was suspended knows that its lease may be over, although no time has
// passed for its process.
func TestHolderSuspendedPastItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asleep time.Duration
		c := clock.NewSteady().Skewed(func() time.Duration { return asleep })
		l := Lease{KV: &fake.KV{}, Key: "k", Holder: "a", Clock: c}
		must.NoError(t, l.RenewOrAcquire(t.Context()))
		time.Sleep(DefaultTTL - time.Second)
		must.NoError(t, l.RenewOrAcquire(t.Context()))
		time.Sleep(time.Second)
		must.True(t, l.MayOrder(false))
		asleep = DefaultTTL / 2
		must.True(t, l.Held())
		must.False(t, l.MayOrder(false))
		asleep = DefaultTTL
		must.False(t, l.Held())
		must.False(t, l.MayOrder(true))
	})
}

func TestSettingsChangeReachesEighteenEngines(t *testing.T) {
	inBay(t, 18, true, true, func(b *bay) {
		b.add(b.kv)
		b.add(b.kv)
		time.Sleep(time.Minute)
		before := b.kv.Calls()
		time.Sleep(time.Minute)
		after := b.kv.Calls()
		t.Logf("leases of one zone: %.2f writes/s, %.2f reads/s", float64(after.Writes-before.Writes)/60, float64(after.Reads-before.Reads)/60)
		b.declare("2", 18, true)
		took := b.until("2")
		t.Logf("18 engines of one zone agree %v after the change; loads of 3 s, two at a time; %d loads", took, b.store.Loads())
		must.Eq(t, 18, b.store.Loads())
	})
}
