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

// envCalls is the environment variable that sets the number of calls of each method.
const envCalls = "HEATHKEEL_TEST_CALLS"

// callCount returns the number of calls of each method, 800 by default.
func callCount() int64 {
	if n, err := strconv.ParseInt(os.Getenv(envCalls), 10, 64); err == nil {
		return n
	}
	return 800
}

// pushWithoutWitness sends a call that may not be repeated, with an owner but no witness.
func pushWithoutWitness(cl *client.Client, name string) error {
	_, err := cl.Do(context.Background(), client.Call{
		Service: "push-alone", Method: http.MethodPost, Path: "/", Header: http.Header{fake.HeaderCall: {name}}, NoRepeat: true, NoWitness: true,
	})
	return err
}

// maxPlainAttempts bounds the attempts of one call of plainRetry.
const maxPlainAttempts = 4

// plainRetry sends a call without an ID to a random host, and repeats it at another random
// one until a host answers.
func plainRetry(cl *client.Client, name string) error {
	hc := &http.Client{Timeout: 5 * time.Second}
	for range maxPlainAttempts {
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
			cl.InvalidateAddresses()
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusCreated {
			return nil
		}
	}
	return problem.Lost(problem.OwnerLost, "", "", "no answer after %d tries", maxPlainAttempts)
}

// injectFaults replaces a random host and makes the service lose one answer, every 600 ms
// until stop is closed.
func (c *loadedCluster) injectFaults(stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(600 * time.Millisecond):
		}
		c.Services["s1"].SetFaults(fake.ServiceFaults{LoseAnswer: 1, Delay: 2 * time.Millisecond})
		c.replaceHost(rnd.IntN(len(c.StartedHosts)))
	}
}

// TestOutcomesUnderKills compares three methods of sending a call that may not be
// repeated while one of three hosts is killed and replaced every 0.6 s. With an owner, no
// call may run twice and no call that ran may be reported as not run.
func TestOutcomesUnderKills(t *testing.T) {
	methods := []struct {
		name string
		once bool // the method guarantees at most one run
		call func(*client.Client, string) error
	}{
		{"owner and witness", true, push},
		{"owner only", true, pushWithoutWitness},
		{"plain retry", false, plainRetry},
	}
	for _, method := range methods {
		t.Run(method.name, func(t *testing.T) {
			c := startCluster(t, false)
			stopFaults, faultsDone := make(chan struct{}), make(chan struct{})
			c.quiet = true
			c.startLoad(8, method.call)
			go func() {
				defer close(faultsDone)
				c.injectFaults(stopFaults)
			}()
			for c.answered.Load()+c.notRun.Load()+c.unknown.Load()+c.other.Load() < callCount() {
				time.Sleep(10 * time.Millisecond)
			}
			close(stopFaults)
			<-faultsDone
			c.stopLoad()
			ranTwice, falseNotRun, unknownRan := 0, 0, 0
			c.outcomes.Range(func(name, out any) bool {
				n := c.Services["s1"].Runs(name.(string))
				if n > 1 {
					ranTwice++
				}
				if out == problem.NotRun && n > 0 {
					falseNotRun++
				}
				if out == problem.Unknown && n > 0 {
					unknownRan++
				}
				return true
			})
			t.Logf("calls: %s: answered %d, not run %d, unknown %d (of which run %d); run more than once %d, false \"not run\" %d",
				method.name, c.answered.Load(), c.notRun.Load(), c.unknown.Load()+c.other.Load(), unknownRan, ranTwice, falseNotRun)
			if method.once {
				must.Zero(t, ranTwice)
				must.Zero(t, falseNotRun)
			}
		})
	}
}
