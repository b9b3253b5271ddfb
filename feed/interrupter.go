// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"sync"
)

// interrupter lets a loop begin its next iteration at once, whatever it waits for, and ends the calls in
// flight. The zero value is ready to use.
type interrupter struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// context returns a context that ends with the next interrupt, or with ctx. ctx must be the same for all
// calls.
func (i *interrupter) context(ctx context.Context) context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ctx == nil || i.ctx.Err() != nil {
		i.ctx, i.cancel = context.WithCancel(ctx)
	}
	return i.ctx
}

// interrupt ends the iteration in progress.
func (i *interrupter) interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel != nil {
		i.cancel()
	}
}
