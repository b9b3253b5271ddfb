// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"sync"
)

// interrupter lets a loop begin its next iteration at once, whatever it waits for. The zero value is
// ready to use.
type interrupter struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// next returns the context of the loop's next iteration, which ends with the next interrupt, and the
// function that ends it.
func (i *interrupter) next(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = cancel
	return ctx, cancel
}

// interrupt ends the iteration in progress.
func (i *interrupter) interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel != nil {
		i.cancel()
	}
}
