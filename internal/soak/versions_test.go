// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Sizes of a run in which all hosts are killed while the version of the engines changes.
const (
	versionsRun     = 170 // its run number, and those of 3 others after it
	versionsSeed    = 207 // of a short run: the first version has left, and no host has written that there were two, when all are killed
	versionsEngines = 3   // of each version
	versionsReaders = 24
	versionsTries   = 40 // for longer than all hosts are away
	versionsPace    = 100 * time.Millisecond
	versionsRounds  = 2 // of a short run
	versionsLong    = 3 // rounds of a long one
	// changeTime is the longest time from the coming of a version to the leaving of the one before, and killTime that to a kill.
	changeTime = 2500 * time.Millisecond
	killTime   = time.Second
	// longestDown is the longest time for which all hosts are away.
	longestDown = 2 * time.Second
)

// TestKillsWhileVersionsChange kills all hosts at once, again and again, while the version of the engines changes, and lets callers resume
// their streams. It guards against streams with events of two versions.
func TestKillsWhileVersionsChange(t *testing.T) {
	runSeeds(t, versionsRun, versionsSeed, func(t *testing.T, run, seed int, long bool) {
		rounds := versionsRounds
		if long {
			rounds = versionsLong
		}
		playVersions(t, run, seed, rounds)
	})
}

// playVersions plays a run and checks it from both ends.
func playVersions(t *testing.T, run, seed, rounds int) {
	f := newFleetWith(t, run, fleetOptions{limits: smallFleetLimits, hosts: fewHosts, plain: 1})
	c := &clients{fleet: f, readerTries: versionsTries, withdrawn: make(map[int]time.Time)}
	r := rand.New(rand.NewPCG(uint64(seed), 0))
	old, err := f.addVersion("v0")
	must.NoError(t, err)
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for i := range versionsReaders {
		own := rand.New(rand.NewPCG(uint64(seed), uint64(i)+1))
		wg.Go(func() { c.readStreams(ctx, own) })
	}
	time.Sleep(time.Second)
	for i := range rounds {
		leave, announced, kills := randomTime(r, changeTime), r.IntN(2) == 0, 1+r.IntN(2)
		next, err := f.addVersion(fmt.Sprint("v", i+1))
		must.NoError(t, err)
		for _, m := range old {
			wg.Go(func() {
				time.Sleep(leave)
				f.endEngine(m, true, announced, false, f.drain)
			})
		}
		time.Sleep(leave)
		for range kills {
			time.Sleep(randomTime(r, killTime))
			must.NoError(t, f.killAll(randomTime(r, longestDown)))
		}
		old = next
	}
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
	}
	time.Sleep(f.contact)
	stop()
	wg.Wait()
	rec := newRecord(f, c)
	checkPromises(t, rec, alwaysPromises)
	asked, wentOn := rec.resumed()
	t.Logf("seed %d: %d requests, %d of %d that resumed a stream went on, %s", seed, len(rec.sent), wentOn, asked, statusCounts(rec))
	must.Positive(t, wentOn)
}

// randomTime returns a duration of up to longest; half of them are short.
func randomTime(r *rand.Rand, longest time.Duration) time.Duration {
	if r.IntN(2) == 0 {
		longest /= 8
	}
	return time.Duration(r.Int64N(int64(longest)))
}

// addVersion starts the engines of a version.
func (f *fleet) addVersion(version string) ([]*fleetEndpoint, error) {
	var out []*fleetEndpoint
	for range versionsEngines {
		m, err := f.addEngine(version, versionsPace, false)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// killAll kills all hosts at once and starts them again after a time.
func (f *fleet) killAll(down time.Duration) error {
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		<-h.done()
	}
	time.Sleep(down)
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	return nil
}
