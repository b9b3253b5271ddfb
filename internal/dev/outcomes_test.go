// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package dev_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/client"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// callsEnv sets the number of calls for the page of measurements.
const callsEnv = "HEATHKEEL_TEST_CALLS"

// callCount is the number of calls of each way.
func callCount() int64 {
	if n, err := strconv.ParseInt(os.Getenv(callsEnv), 10, 64); err == nil {
		return n
	}
	return 800
}

// pushAlone makes a call that only its owner guards.
func pushAlone(cl *client.Client, name string) error {
	_, err := cl.Do(context.Background(), client.Call{
		Service: "push-alone", Method: http.MethodPost, Path: "/", Header: http.Header{fake.HeaderCall: {name}}, NoRepeat: true, NoWitness: true,
	})
	return err
}

// plainTries is how often the plain way tries.
const plainTries = 4

// plainRetry calls hosts in turn, without an ID, until one answers.
func plainRetry(cl *client.Client, name string) error {
	hc := &http.Client{Timeout: 5 * time.Second}
	for range plainTries {
		list, err := cl.Addresses(context.Background())
		if err != nil {
			continue
		}
		at := list[rand.IntN(len(list))].Address
		req, _ := http.NewRequest(http.MethodPost, "http://"+at+router.PathCall+"look/", strings.NewReader("x"))
		req.Header.Set(router.HeaderWorkspace, "w")
		req.Header.Set(fake.HeaderCall, name)
		resp, err := hc.Do(req)
		if err != nil {
			cl.Forget()
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusCreated {
			return nil
		}
	}
	return problem.Lost(problem.OwnerLost, "", "", "no answer after %d tries", plainTries)
}

// trouble kills and replaces hosts and loses answers of the service until stop.
func (f *fleet) trouble(stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(600 * time.Millisecond):
		}
		f.Services["s1"].SetFaults(fake.ServiceFaults{LoseAnswer: 1, Delay: 2 * time.Millisecond})
		f.replace(rnd.IntN(len(f.StartedHosts)))
	}
}

// TestOutcomesUnderKills compares three ways of making a call that may not be
// repeated while a host of three is killed and replaced every 0.6 s.
func TestOutcomesUnderKills(t *testing.T) {
	ways := []struct {
		name string
		once bool // the way promises at most one run
		call func(*client.Client, string) error
	}{
		{"owner and witness", true, push},
		{"owner only", true, pushAlone},
		{"plain retry", false, plainRetry},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			f := start(t, false)
			stop, done := make(chan struct{}), make(chan struct{})
			f.quiet = true
			f.load(8, way.call)
			go func() {
				defer close(done)
				f.trouble(stop)
			}()
			for f.answered.Load()+f.notRun.Load()+f.unknown.Load()+f.other.Load() < callCount() {
				time.Sleep(10 * time.Millisecond)
			}
			close(stop)
			<-done
			f.halt()
			twice, falseNotRun, ranUnknown := 0, 0, 0
			f.ids.Range(func(name, out any) bool {
				n := f.Services["s1"].Runs(name.(string))
				if n > 1 {
					twice++
				}
				if out == problem.NotRun && n > 0 {
					falseNotRun++
				}
				if out == problem.Unknown && n > 0 {
					ranUnknown++
				}
				return true
			})
			t.Logf("calls: %s: answered %d, not run %d, unknown %d (of which run %d); run more than once %d, false \"not run\" %d",
				way.name, f.answered.Load(), f.notRun.Load(), f.unknown.Load()+f.other.Load(), ranUnknown, twice, falseNotRun)
			if way.once {
				must.Zero(t, twice)
				must.Zero(t, falseNotRun)
			}
		})
	}
}
