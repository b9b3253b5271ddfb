// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/client"
	"github.com/heathkeel/heathkeel/internal/fake"
)

// TestStreamSurvivesBrokenPath checks that a host does not give up a stream while its engine generates it and cannot be reached for a
// moment: nothing else holds the rest of the answer.
func TestStreamSurvivesBrokenPath(t *testing.T) {
	const (
		stepTime = 20 * time.Millisecond
		tokens   = 100
		broken   = 500 * time.Millisecond
	)
	r := newTestCluster(t, nil)
	for _, e := range r.Engines {
		e.SetStepTime(stepTime)
	}
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		eventually(t, "an engine runs the request", func() bool { return r.busyEngines() > 0 })
		r.setEngines(fake.EngineFaults{Dead: true})
		time.Sleep(broken)
		r.setEngines(fake.EngineFaults{})
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := newClient(r).Complete(ctx, client.Completion{Service: "write", Model: "m", Prompt: "p", MaxTokens: tokens, NoRepeat: true})
	<-restored
	t.Log("engines that still generate:", r.busyEngines())
	must.NoError(t, err)
	must.Eq(t, tokens, a.Tokens)
	must.EqOp(t, 1, r.maxRuns())
}
