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

// testZone is a zone with engines and placers. Its waitForVersion checks that the model
// never loses its last serving engine.
type testZone struct {
	t           *testing.T
	ctx         context.Context
	kv          *fake.KV
	store       *fake.WeightStore
	engines     map[string]*fake.Engine
	net         fake.Transport
	snap        atomic.Pointer[settings.Snapshot]
	loseAnswers atomic.Int64 // number of answers to orders that will be lost
	placerCount int
	placers     []*Placer
	cancels     []context.CancelFunc
}

// newTestZone starts n engines, which all hold version 1 if held is set and nothing
// otherwise.
func newTestZone(t *testing.T, ctx context.Context, n int, held, fenced bool) *testZone {
	z := &testZone{t: t, ctx: ctx, kv: &fake.KV{}, store: &fake.WeightStore{LoadTime: 3 * time.Second}, engines: map[string]*fake.Engine{}, net: fake.Transport{}}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		e := &fake.Engine{Core: fake.EngineCore{Slots: 4, PrefillPerStep: 512, CacheBlocks: 10}, StepTime: 5 * time.Millisecond, Store: z.store, Unfenced: !fenced}
		if held {
			e.SetLoaded(*spec("m", "1"))
		}
		z.engines[name] = e
		z.net[name] = e.Handler()
	}
	z.setPlacement("1", n, fenced)
	return z
}

// setPlacement puts settings with a placement of one model in force.
func (z *testZone) setPlacement(version string, replicas int, fenced bool) {
	text := fmt.Sprintf("models: {m: {}}\nplacements: {m: {model: m, version: %q, replicas: %d}}\nendpoints:\n", version, replicas)
	i := 0
	for name := range z.engines {
		i++
		text += fmt.Sprintf("  %s: {address: \"10.0.0.1:%d\", zone: z, fenced: %v}\n", name, i, fenced)
	}
	p := settings.Parse([]settings.File{{Name: "t.yaml", Data: []byte(text)}})
	must.Len(z.t, 0, p.Faults, must.Sprint(p.Faults))
	z.snap.Store(settings.NewSnapshot(1, p.Declaration))
}

// lossyEngine is an engine that loses the answers to some orders.
type lossyEngine struct {
	endpoint.Engine
	zone *testZone
}

func (l lossyEngine) Order(ctx context.Context, o endpoint.Order) error {
	err := l.Engine.Order(ctx, o)
	if l.zone.loseAnswers.Add(-1) >= 0 {
		return errors.New("answer lost")
	}
	return err
}

// engine returns the connection to an engine.
func (z *testZone) engine(e settings.Endpoint) endpoint.Engine {
	return lossyEngine{&endpoint.Client{Base: "http://" + e.Name, HTTP: &http.Client{Transport: z.net}}, z}
}

// addPlacer starts a placer that uses the given key-value service.
func (z *testZone) addPlacer(kv keyval.KV) *Placer {
	z.placerCount++
	p := &Placer{
		Clock: clock.NewSteady(),
		Name:  fmt.Sprint("p", z.placerCount), Zone: "z", KV: kv, Weights: z.store, Settings: z.snap.Load,
		Engine: z.engine, Log: logr.Discard(),
	}
	ctx, cancel := context.WithCancel(z.ctx)
	go p.Run(ctx)
	z.placers = append(z.placers, p)
	z.cancels = append(z.cancels, cancel)
	return p
}

// countServing counts the engines that serve a version, or any version if it is empty.
func (z *testZone) countServing(version string) int {
	n := 0
	for name := range z.engines {
		rep, err := z.engine(settings.Endpoint{Name: name}).Report(z.ctx, noCacheEvents)
		if err == nil && rep.Loaded != nil && rep.Role != RoleDrain && (version == "" || rep.Loaded.Version == version) {
			n++
		}
	}
	return n
}

// waitForVersion waits until all engines serve a version and returns how long that took. It
// fails the test if at some time no engine serves any version.
func (z *testZone) waitForVersion(version string) time.Duration {
	start := time.Now()
	had := z.countServing("") > 0
	for range 3600 {
		if n := z.countServing(""); had && n == 0 {
			z.t.Fatal("no engine serves the model")
		} else if n > 0 {
			had = true
		}
		if z.countServing(version) == len(z.engines) {
			return time.Since(start)
		}
		time.Sleep(time.Second)
	}
	z.t.Fatalf("only %d of %d engines ever served version %s; loads %d", z.countServing(version), len(z.engines), version, z.store.Loads())
	return 0
}

// runInZone runs a test in a new zone on fake time.
func runInZone(t *testing.T, engines int, held, fenced bool, run func(z *testZone)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		run(newTestZone(t, ctx, engines, held, fenced))
	})
}

func TestPlacementFaults(t *testing.T) {
	const engines = 6
	cases := []struct {
		name     string
		maxLoads int
		run      func(z *testZone) time.Duration
	}{
		{"empty engines are filled", engines, func(z *testZone) time.Duration {
			for _, e := range z.engines {
				e.SetLoaded(*spec("other", "9"))
			}
			z.addPlacer(z.kv)
			return z.waitForVersion("1")
		}},
		{"a new version rolls out", engines, func(z *testZone) time.Duration {
			z.addPlacer(z.kv)
			z.addPlacer(z.kv)
			z.setPlacement("2", engines, true)
			return z.waitForVersion("2")
		}},
		{"renewal answers lost", engines, func(z *testZone) time.Duration {
			z.addPlacer(z.kv)
			time.Sleep(20 * time.Second)
			z.kv.SetFaults(fake.KVFaults{LoseAnswer: 4})
			z.setPlacement("2", engines, true)
			return z.waitForVersion("2")
		}},
		{"claim answer lost", engines, func(z *testZone) time.Duration {
			z.kv.SetFaults(fake.KVFaults{LoseAnswer: 2})
			z.addPlacer(z.kv)
			z.setPlacement("2", engines, true)
			return z.waitForVersion("2")
		}},
		{"KV down for an hour", engines, func(z *testZone) time.Duration {
			z.addPlacer(z.kv)
			time.Sleep(time.Minute)
			z.kv.SetFaults(fake.KVFaults{Down: true})
			time.Sleep(time.Minute)
			z.setPlacement("2", engines, true)
			time.Sleep(time.Hour)
			must.Eq(z.t, engines, z.countServing("1"))
			must.Zero(z.t, z.store.Loads())
			z.kv.SetFaults(fake.KVFaults{})
			return z.waitForVersion("2")
		}},
		{"order taken and answer lost", engines, func(z *testZone) time.Duration {
			z.loseAnswers.Store(5)
			z.addPlacer(z.kv)
			z.setPlacement("2", engines, true)
			return z.waitForVersion("2")
		}},
		{"weight store refuses for two minutes", engines + 16, func(z *testZone) time.Duration {
			z.addPlacer(z.kv)
			z.store.SetFaults(fake.WeightFaults{Corrupt: true})
			z.setPlacement("2", engines, true)
			time.Sleep(2 * time.Minute)
			must.Positive(z.t, z.countServing("1"))
			z.store.SetFaults(fake.WeightFaults{})
			return z.waitForVersion("2")
		}},
		{"weight store ten times slower", engines, func(z *testZone) time.Duration {
			z.store.SetFaults(fake.WeightFaults{Slowdown: 10})
			z.addPlacer(z.kv)
			z.setPlacement("2", engines, true)
			return z.waitForVersion("2")
		}},
		{"engine restarts while it loads", engines + 1, func(z *testZone) time.Duration {
			z.addPlacer(z.kv)
			z.setPlacement("2", engines, true)
			for z.store.Loads() == 0 {
				time.Sleep(time.Second)
			}
			for _, e := range z.engines {
				e.Restart()
			}
			return z.waitForVersion("2")
		}},
		{"every host replaced one after the other", engines, func(z *testZone) time.Duration {
			z.addPlacer(z.kv)
			z.setPlacement("2", engines, true)
			for i := range 5 {
				time.Sleep(20 * time.Second)
				z.cancels[i]()
				z.addPlacer(z.kv)
			}
			return z.waitForVersion("2")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInZone(t, engines, true, true, func(z *testZone) {
				took := c.run(z)
				must.LessEq(t, c.maxLoads, z.store.Loads())
				t.Logf("agreed %v after the last event; %d loads", took, z.store.Loads())
			})
		})
	}
}

// pausableKV lets a test block all lease renewals of one host.
type pausableKV struct {
	keyval.KV
	paused atomic.Bool
}

func (p *pausableKV) Renew(ctx context.Context, l keyval.Lease) error {
	if p.paused.Load() {
		<-ctx.Done()
		return keyval.ErrUnavailable
	}
	return p.KV.Renew(ctx, l)
}

func TestPausedLeaseHolder(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced=", fenced), func(t *testing.T) {
			runInZone(t, 2, true, fenced, func(z *testZone) {
				kv := &pausableKV{KV: z.kv}
				old := z.addPlacer(kv)
				time.Sleep(40 * time.Second)
				must.True(t, old.Counts().Held)
				stale := old.Counts().Token
				old.mu.Lock()
				before := old.lease
				old.mu.Unlock()
				kv.paused.Store(true)
				next := z.addPlacer(z.kv)
				time.Sleep(60 * time.Second)
				must.True(t, next.Counts().Held)
				must.Greater(t, stale, next.Counts().Token)
				must.False(t, old.Counts().Held)
				// If it resumed, the old holder would order the engines by its stale view
				// of the zone. Its own clock forbids that, and an engine that checks tokens
				// refuses the order, too.
				must.False(t, before.MayOrder(fenced))
				z.setPlacement("2", 2, fenced)
				z.waitForVersion("2")
				if fenced {
					err := z.engine(settings.Endpoint{Name: "e00"}).Order(z.ctx, endpoint.Order{Token: stale, Want: spec("m", "1"), Role: "both"})
					must.ErrorIs(t, err, endpoint.ErrStaleToken)
					must.Eq(t, 2, z.countServing("2"))
				}
			})
		})
	}
}

func TestUnfencedEngineGuardTime(t *testing.T) {
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

// TestSuspendedLeaseHolder checks that a holder whose host was suspended treats its lease as
// expired, although the process's own clock did not advance during the suspension.
func TestSuspendedLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		c := clock.NewSteady().WithOffset(func() time.Duration { return suspended })
		l := Lease{KV: &fake.KV{}, Key: "k", Holder: "a", Clock: c}
		must.NoError(t, l.RenewOrAcquire(t.Context()))
		time.Sleep(DefaultTTL - time.Second)
		must.NoError(t, l.RenewOrAcquire(t.Context()))
		time.Sleep(time.Second)
		must.True(t, l.MayOrder(false))
		suspended = DefaultTTL / 2
		must.True(t, l.Held())
		must.False(t, l.MayOrder(false))
		suspended = DefaultTTL
		must.False(t, l.Held())
		must.False(t, l.MayOrder(true))
	})
}

func TestRolloutToEighteenEngines(t *testing.T) {
	runInZone(t, 18, true, true, func(z *testZone) {
		z.addPlacer(z.kv)
		z.addPlacer(z.kv)
		time.Sleep(time.Minute)
		before := z.kv.Calls()
		time.Sleep(time.Minute)
		after := z.kv.Calls()
		t.Logf("leases of one zone: %.2f writes/s, %.2f reads/s", float64(after.Writes-before.Writes)/60, float64(after.Reads-before.Reads)/60)
		z.setPlacement("2", 18, true)
		took := z.waitForVersion("2")
		t.Logf("18 engines of one zone agree %v after the change; loads of 3 s, two at a time; %d loads", took, z.store.Loads())
		must.Eq(t, 18, z.store.Loads())
	})
}
